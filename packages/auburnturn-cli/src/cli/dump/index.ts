import { readDump } from '../../core/operator/index.js'
import { exitCodes } from '../../core/terminal/index.js'
import type { Terminal } from '../../core/terminal/index.js'

/** Prints the dump of the node whose operator address is `address`, or one part of it. */
export async function dump (address: string, part: string, terminal: Terminal): Promise<number> {
  terminal.print(JSON.stringify(await readDump(address, part), null, 2))
  return exitCodes.ok
}
