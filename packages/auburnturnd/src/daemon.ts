/** The daemon: reads its settings, runs one node, and ends on SIGTERM or SIGINT. */
import { readFileSync } from 'node:fs'
import { describeFault, Fault, formatProblem, isFault, Node, parseDocument, settingsSchema } from 'auburnturn'
import type { NodeSettings } from 'auburnturn'
import yargs from 'yargs'

/** Exit codes, documented in docs/OPERATORS.md. */
export const exitCodes = { ok: 0, failed: 1, invalid: 2 } as const

/** Runs the daemon with the words of its command line. */
export async function runDaemon (words: readonly string[]): Promise<void> {
  const options = await yargs(words)
    .scriptName('auburnturnd')
    .option('settings', { type: 'string', demandOption: true, describe: 'Settings file, JSON with comments' })
    .option('check', { type: 'boolean', default: false, describe: 'Check the settings and exit' })
    .strict()
    .fail((message, error) => {
      process.stderr.write(`auburnturnd: ${message ?? String(error)}\n`)
      process.exit(exitCodes.invalid)
    })
    .parse()
  try {
    const settings = readSettings(options.settings)
    if (!options.check) await runNode(settings)
  } catch (error) {
    process.stderr.write(`auburnturnd: ${isFault(error) ? describeFault(error) : String(error)}\n`)
    process.exitCode = isFault(error) && error.tag.startsWith('settings') ? exitCodes.invalid : exitCodes.failed
  }
}

/** Reads and checks a settings file; throws a fault that names every problem. */
export function readSettings (file: string): NodeSettings {
  const parsed = parseDocument(readText(file), settingsSchema)
  if (parsed.kind === 'valid') return parsed.value
  throw Fault.create('settings-invalid', parsed.problems.map(problem => formatProblem(file, problem)).join('\n'))
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw Fault.create('settings-unreadable', error instanceof Error ? error.message : String(error), error)
  }
}

async function runNode (settings: NodeSettings): Promise<void> {
  const node = await Node.create(settings)
  const stop = (): void => {
    node.close().catch(error => {
      process.stderr.write(`auburnturnd: ${String(error)}\n`)
      process.exitCode = exitCodes.failed
    })
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}
