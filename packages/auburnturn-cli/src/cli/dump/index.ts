import { readDump } from '../../core/operator/index.js'
import { exitCodes } from '../../core/terminal/index.js'
import type { Terminal } from '../../core/terminal/index.js'

/** Prints the dump of the node with the operator address `address`, or the named part of it if `part` is not empty. */
export async function dump (address: string, part: string, terminal: Terminal): Promise<number> {
  terminal.print(JSON.stringify(await readDump(address, part), null, 2))
  return exitCodes.ok
}
