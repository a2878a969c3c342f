/** The command-line tool: one folder a command. */
import { describeFault, isFault } from 'auburnturn'
import yargs from 'yargs'
import { dump } from './dump/index.js'

/** Exit codes, documented in docs/OPERATORS.md. */
export const exitCodes = { ok: 0, failed: 1, invalid: 2 } as const

/** Runs the tool with the words of its command line. */
export async function runTool (words: readonly string[]): Promise<void> {
  await yargs(words)
    .scriptName('auburnturn')
    .command('dump <address> [part]', 'Print the state of a node', builder => builder
      .positional('address', { type: 'string', demandOption: true })
      .positional('part', { type: 'string', default: '' }),
    async ({ address, part }) => { await dump(address, part) })
    .demandCommand(1, 'Name a command.')
    .strict()
    .fail(reportFailure)
    .parse()
}

function reportFailure (message: string | undefined, error: unknown): void {
  const text = isFault(error) ? describeFault(error) : message ?? String(error)
  process.stderr.write(`auburnturn: ${text}\n`)
  process.exit(error === undefined ? exitCodes.invalid : exitCodes.failed)
}
