import { describeFault, isFault } from 'auburnturn'
import { parseOrigin } from '../../core/address/index.js'
import { readDump } from '../../core/operator/index.js'
import { formatStatuses, readStatus, compareStatuses } from '../../core/status/index.js'
import type { NodeStatus, ComparedStatus, UnreachableNode } from '../../core/status/index.js'
import { exitCodes } from '../../core/terminal/index.js'
import type { Terminal } from '../../core/terminal/index.js'

/** Prints the state of several nodes as a table or as JSON. */
export async function status (addresses: readonly string[], asJson: boolean, terminal: Terminal): Promise<number> {
  addresses.forEach(parseOrigin)
  const results = await Promise.all(addresses.map(readNode))
  const statuses = compareStatuses(results.filter((result): result is NodeStatus => !isUnreachable(result)))
  const unreachable = results.filter(isUnreachable)
  if (asJson) terminal.print(JSON.stringify({ nodes: statuses, unreachable }, null, 2))
  else if (statuses.length > 0) terminal.print(formatStatuses(statuses))
  for (const { problem } of unreachable) terminal.printError(`auburnturn: ${problem}`)
  return chooseExitCode(statuses, unreachable)
}

async function readNode (address: string): Promise<NodeStatus | UnreachableNode> {
  try {
    return readStatus(address, await readDump(address))
  } catch (error) {
    return { address, problem: isFault(error) ? describeFault(error).split('\n')[0] ?? '' : String(error) }
  }
}

function isUnreachable (result: NodeStatus | UnreachableNode): result is UnreachableNode {
  return 'problem' in result
}

function chooseExitCode (statuses: readonly ComparedStatus[], unreachable: readonly UnreachableNode[]): number {
  if (unreachable.length > 0) return exitCodes.failed
  return statuses.some(({ concerns }) => concerns.length > 0) ? exitCodes.needsAttention : exitCodes.ok
}
