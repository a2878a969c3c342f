/** Brings up both deployments on this machine until a signal ends them. */
import { deployments } from './deployments.js'
import { Fleet } from './fleet.js'
import { loopbackIp } from './node-locations.js'

const firstPort = Number(process.env.AUBURNTURN_FIRST_PORT ?? 18_000)
const faultControlPort = firstPort - 1
const signals = ['SIGINT', 'SIGTERM'] as const

const shutdown = new AbortController()
let fleet: Fleet | undefined

for (const signal of signals) process.on(signal, shutDown)
// Also reached when something unexpected ends this process.
process.on('exit', () => { fleet?.kill() })

try {
  fleet = await Fleet.create({ deployments, firstPort, faultControlPort: faultControlPort, abortSignal: shutdown.signal, onUnexpectedExit: reportDaemonExit })
  if (shutdown.signal.aborted) await fleet.close()
  else printUsage(fleet)
} catch (error) {
  if (!shutdown.signal.aborted) fail(error)
}

/** The first signal ends everything in order, the second at once. */
function shutDown (): void {
  if (shutdown.signal.aborted) process.exit(1)
  shutdown.abort()
  process.stdout.write('Ending; calls in flight may finish.\n')
  fleet?.close().catch(fail)
}

function printUsage ({ nodeLocations: places }: Fleet): void {
  const first = places.find(({ member }) => member.service === 'orders') ?? places[0]
  if (first === undefined) return
  process.stdout.write([
    `${places.length} nodes are up, from ${loopbackIp}:${firstPort} on. Try:`,
    `  curl -i http://${loopbackIp}:${first.callersPort}/~orders/hello`,
    `  npx auburnturn call ${loopbackIp}:${first.callersPort} orders /hello --method POST --body '{}'`,
    `  npx auburnturn status ${places.slice(0, 3).map(({ operatorPort }) => `${loopbackIp}:${operatorPort}`).join(' ')}`,
    `  npx auburnturn dump ${loopbackIp}:${first.operatorPort}`,
    `  curl -X POST '${`http://${loopbackIp}:${faultControlPort}`}/${first.member.id}?latencyMs=300'   # make an upstream slow`,
    `  curl -X POST 'http://${loopbackIp}:${faultControlPort}/platform?down=true'   # take the platform down`,
    'Ctrl-C ends everything.', ''
  ].join('\n'))
}

function reportDaemonExit (name: string, { code, signal }: { code: number | null, signal: string | null }): void {
  process.stderr.write(`The daemon of ${name} ended: ${signal ?? `exit code ${code ?? '?'}`}.\n`)
}

function fail (error: unknown): void {
  process.stderr.write(`start: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
}
