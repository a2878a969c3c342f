/** The command-line tool. Each command has a folder here with little logic; the work is done in `core`. */
import { describeFault, Fault, isFault } from 'auburnturn'
import yargs from 'yargs'
import type { Argv } from 'yargs'
import { parseNodeOrigin } from '../core/address/index.js'
import { documentKinds } from '../core/check/index.js'
import { exitCodes, processTerminal } from '../core/terminal/index.js'
import type { Terminal } from '../core/terminal/index.js'
import { call } from './call/index.js'
import { check } from './check/index.js'
import { dump } from './dump/index.js'
import { schema } from './schema/index.js'
import { status } from './status/index.js'
import { readVersion } from './version.js'

/** Runs the tool with its command-line arguments and resolves with the exit code. Never rejects. */
export async function runTool (args: readonly string[], terminal: Terminal = processTerminal): Promise<number> {
  let code: number = exitCodes.ok
  const setExitCode = (exitCode: number): void => { code = exitCode }
  try {
    const parser = addCommands(createParser(), terminal, setExitCode)
    await parser.parseAsync([...args], {}, (_error: unknown, _options: unknown, output: string) => {
      if (output !== '') terminal.print(output)
    })
    return code
  } catch (error) {
    terminal.printError(`auburnturn: ${describeError(error)}`)
    return isFault(error) && isUsageError(error) ? exitCodes.invalid : exitCodes.failed
  }
}

function createParser (): Argv {
  return yargs()
    .scriptName('auburnturn')
    .locale('en')
    .version(readVersion())
    .exitProcess(false)
    .strict()
    .demandCommand(1, 'Name a command.')
    .recommendCommands()
    .epilogue('Exit codes: 0 success, 1 unreachable, 2 invalid flag or document, 3 not run, 4 may have run, 5 a node needs attention.')
    .fail((message: string | null, error: unknown) => { throw selectError(message, error) })
}

function addCommands (parser: Argv, terminal: Terminal, setExitCode: (code: number) => void): Argv {
  return parser
    .command('check <files..>', 'Check settings, profiles and service entries, and warn about risky values', addCheckOptions, ({ files, kind, strict }) => {
      setExitCode(check(files, kind, strict, terminal))
    })
    .command('dump <address> [part]', 'Print the state of a node', addDumpOptions, async ({ address, part }) => {
      setExitCode(await dump(address, part, terminal))
    })
    .command('status <addresses..>', 'Print the state of nodes side by side', addStatusOptions, async ({ addresses, json }) => {
      setExitCode(await status(addresses, json, terminal))
    })
    .command('call <address> <service> <path>', 'Send one call and print its verdict and the tried targets', addCallOptions, async options => {
      setExitCode(await call({ ...options, origin: parseNodeOrigin(options.address), body: options.body, timeoutMs: options.timeout, idempotent: options.idempotent, ticket: options.ticket }, options.json, terminal))
    })
    .command('schema <kind>', 'Print the JSON schema of a document, for editors', addSchemaOptions, ({ kind }) => {
      setExitCode(schema(kind, terminal))
    })
}

function addCheckOptions (builder: Argv) {
  return builder
    .positional('files', { type: 'string', array: true, demandOption: true, describe: 'Documents, JSON with comments' })
    .option('kind', { choices: documentKinds, describe: 'Kind of the documents; inferred from their keys by default' })
    .option('strict', { type: 'boolean', default: false, describe: 'Treat warnings as errors' })
}

function addDumpOptions (builder: Argv) {
  return builder
    .positional('address', { type: 'string', demandOption: true, describe: 'Operator address of a node, IP:PORT' })
    .positional('part', { type: 'string', default: '', describe: 'One part, such as configuration' })
}

function addStatusOptions (builder: Argv) {
  return builder
    .positional('addresses', { type: 'string', array: true, demandOption: true, describe: 'Operator addresses of nodes, IP:PORT' })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON instead of a table' })
}

function addCallOptions (builder: Argv) {
  return builder
    .positional('address', { type: 'string', demandOption: true, describe: 'Address of a node for callers, IP:PORT or http://IP:PORT' })
    .positional('service', { type: 'string', demandOption: true, describe: 'Service to call' })
    .positional('path', { type: 'string', demandOption: true, describe: 'Path and query of the request' })
    .option('method', { type: 'string', default: 'GET', coerce: (method: string) => method.toUpperCase() })
    .option('body', { type: 'string', describe: 'Request body' })
    .option('timeout', { type: 'number', describe: 'Timeout of the call, in milliseconds' })
    .option('idempotent', { choices: ['yes', 'no'] as const, describe: 'Whether the call is idempotent and may be retried' })
    .option('ticket', { type: 'string', describe: 'Ticket of the only target that may run the call' })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
    .check(({ timeout }) => timeout === undefined || timeout > 0 ? true : 'timeout: allowed: a number of milliseconds above 0')
}

function addSchemaOptions (builder: Argv) {
  return builder.positional('kind', { choices: documentKinds, demandOption: true, describe: 'Kind of the document' })
}

/** Returns a usage fault for a message of yargs; an error that a command threw comes without a message and is returned as is. */
function selectError (message: string | null, error: unknown): unknown {
  if (isFault(error) || message === null) return error
  return Fault.create('usage-invalid', message.trim().replace(/\s*\n\s*/g, ' '))
}

function describeError (error: unknown): string {
  if (isFault(error)) return describeFault(error)
  return error instanceof Error ? error.message : String(error)
}

function isUsageError ({ tag }: Fault): boolean {
  return tag === 'usage-invalid' || tag === 'address-invalid' || tag === 'document-unreadable' || tag === 'part-unknown'
}
