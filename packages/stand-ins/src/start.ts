/** Brings up both deployments on this machine until a signal ends them. */
import { deployments } from './deployments.js'
import { Fleet } from './fleet.js'
import { ip } from './places.js'

const firstPort = Number(process.env.AUBURNTURN_FIRST_PORT ?? 18_000)
const controlPort = firstPort - 1
const signals = ['SIGINT', 'SIGTERM'] as const

const ending = new AbortController()
let fleet: Fleet | undefined

for (const signal of signals) process.on(signal, end)
// Also reached when something unexpected ends this process.
process.on('exit', () => { fleet?.kill() })

try {
  fleet = await Fleet.create({ deployments, firstPort, controlPort, signal: ending.signal, onDaemonEnd: reportEnd })
  if (ending.signal.aborted) await fleet.close()
  else announce(fleet)
} catch (error) {
  if (!ending.signal.aborted) fail(error)
}

/** The first signal ends everything in order, the second at once. */
function end (): void {
  if (ending.signal.aborted) process.exit(1)
  ending.abort()
  process.stdout.write('Ending; calls in flight may finish.\n')
  fleet?.close().catch(fail)
}

function announce ({ places }: Fleet): void {
  const first = places.find(({ member }) => member.service === 'orders') ?? places[0]
  if (first === undefined) return
  process.stdout.write([
    `${places.length} nodes are up, from ${ip}:${firstPort} on. Try:`,
    `  curl -i http://${ip}:${first.callersPort}/~orders/hello`,
    `  npx auburnturn call ${ip}:${first.callersPort} orders /hello --method POST --body '{}'`,
    `  npx auburnturn status ${places.slice(0, 3).map(({ operatorPort }) => `${ip}:${operatorPort}`).join(' ')}`,
    `  npx auburnturn dump ${ip}:${first.operatorPort}`,
    `  curl -X POST '${`http://${ip}:${controlPort}`}/${first.member.id}?latencyMs=300'   # make an upstream slow`,
    'Ctrl-C ends everything.', ''
  ].join('\n'))
}

function reportEnd (name: string, { code, signal }: { code: number | null, signal: string | null }): void {
  process.stderr.write(`The daemon of ${name} ended: ${signal ?? `exit code ${code ?? '?'}`}.\n`)
}

function fail (error: unknown): void {
  process.stderr.write(`start: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
}
