/** Runs both deployments on this machine until SIGINT or SIGTERM. */
import { deployments } from './deployments.js'
import { Fleet } from './fleet.js'
import { ip } from './fleet-nodes.js'

const firstPort = Number(process.env.AUBURNTURN_FIRST_PORT ?? 18_000)
const faultControlPort = firstPort - 1
const signals = ['SIGINT', 'SIGTERM'] as const

const shutdownController = new AbortController()
let fleet: Fleet | undefined

for (const signal of signals) process.on(signal, shutDown)
// Also runs when an uncaught error ends this process. The daemons would keep running, since each has its own process group.
process.on('exit', () => { fleet?.kill() })

try {
  fleet = await Fleet.create({ deployments, firstPort, faultControlPort, abortSignal: shutdownController.signal, onUnexpectedExit: reportDaemonExit })
  if (shutdownController.signal.aborted) await fleet.close()
  else printUsage(fleet)
} catch (error) {
  if (!shutdownController.signal.aborted) fail(error)
}

/** The first signal drains the daemons and closes everything; the second one exits immediately. */
function shutDown (): void {
  if (shutdownController.signal.aborted) process.exit(1)
  shutdownController.abort()
  process.stdout.write('Ending; calls in flight may finish.\n')
  fleet?.close().catch(fail)
}

function printUsage ({ nodes }: Fleet): void {
  const exampleNode = nodes.find(({ member }) => member.service === 'orders') ?? nodes[0]
  if (exampleNode === undefined) return
  process.stdout.write([
    `${nodes.length} nodes are up, from ${ip}:${firstPort} on. Try:`,
    `  curl -i http://${ip}:${exampleNode.callersPort}/~orders/hello`,
    `  npx auburnturn call ${ip}:${exampleNode.callersPort} orders /hello --method POST --body '{}'`,
    `  npx auburnturn status ${nodes.slice(0, 3).map(({ operatorPort }) => `${ip}:${operatorPort}`).join(' ')}`,
    `  npx auburnturn dump ${ip}:${exampleNode.operatorPort}`,
    `  curl -X POST '${`http://${ip}:${faultControlPort}`}/${exampleNode.member.id}?latencyMs=300'   # make an upstream slow`,
    `  curl -X POST 'http://${ip}:${faultControlPort}/platform?down=true'   # take the platform down`,
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
