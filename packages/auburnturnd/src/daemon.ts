/** Command line of the daemon: reads the settings and runs one node until SIGTERM or SIGINT, or only checks them. */
import { readFileSync } from 'node:fs'
import { describeFault, Fault, isFault } from 'auburnturn'
import yargs from 'yargs'
import { exitCodes } from './exit-codes.js'
import { readSettings } from './read-settings.js'
import { runNode } from './run-node.js'

/** Runs the daemon with its command-line arguments. Never rejects: reports an error and exits with its code. */
export async function runDaemon (args: readonly string[]): Promise<void> {
  try {
    const options = await parseOptions(args)
    if (options !== undefined) await runOrCheck(options)
  } catch (error) {
    process.stderr.write(`auburnturnd: ${isFault(error) ? describeFault(error) : describeError(error)}\n`)
    // Parts of a node that failed to start may still keep the process alive, so it exits explicitly.
    process.exit(isFault(error) && isUsageError(error) ? exitCodes.invalid : exitCodes.failed)
  }
}

interface DaemonOptions {
  readonly settings: string
  readonly check: boolean
}

async function runOrCheck ({ settings: file, check }: DaemonOptions): Promise<void> {
  const { settings, warnings } = readSettings(file)
  if (!check) {
    await runNode(settings, warnings)
    return
  }
  for (const warning of warnings) process.stderr.write(`${warning}\n`)
  process.stdout.write(`${file}: the settings are valid\n`)
}

/** Parses the arguments; prints the output and returns undefined if they request only help or the version. */
async function parseOptions (args: readonly string[]): Promise<DaemonOptions | undefined> {
  let output = ''
  const options = await yargs()
    .scriptName('auburnturnd')
    .usage('$0 --settings FILE [--check]')
    .locale('en')
    .version(readVersion())
    .exitProcess(false)
    .option('settings', { type: 'string', demandOption: true, requiresArg: true, describe: 'Settings file, JSON with comments' })
    .option('check', { type: 'boolean', default: false, describe: 'Check the settings and exit' })
    .epilogue('Exit codes: 0 success, 1 failed, 2 invalid flag or settings.')
    .strict()
    .fail((message: string | null, error: unknown) => {
      throw message === null ? error : Fault.create('usage-invalid', message.trim().replace(/\s*\n\s*/g, ' '))
    })
    .parseAsync([...args], {}, (_error: unknown, _options: unknown, text: string) => { output = text })
  if (output === '') return { settings: String(options.settings), check: options.check }
  process.stdout.write(`${output}\n`)
  return undefined
}

function readVersion (): string {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8')
  return (JSON.parse(text) as { version: string }).version
}

function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

function isUsageError ({ tag }: Fault): boolean {
  return tag === 'usage-invalid' || tag === 'settings-invalid' || tag === 'settings-unreadable'
}
