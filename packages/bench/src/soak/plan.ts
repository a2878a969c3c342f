import { Random } from 'auburnturn/core/random'
import type { Fault, FaultName } from './types.js'

/** What a plan is drawn from. */
export interface PlanOptions {
  readonly seed: number
  readonly vms: number
  /** Milliseconds in which faults begin. */
  readonly lengthMs: number
}

/** Shortest and longest time of each fault, in milliseconds. */
const lengths: Readonly<Record<FaultName, readonly [number, number]>> = {
  'terminate-node': [200, 1_500],
  'kill-node': [100, 1_500],
  'pause-node': [300, 3_000],
  'reload-node': [0, 0],
  'crash-target': [100, 2_500],
  'pause-target': [300, 2_500],
  'drain-target': [2_500, 4_000],
  'delay-link': [500, 4_000],
  'reset-link': [0, 0],
  'swallow-requests': [500, 3_000],
  'swallow-answers': [500, 3_000],
  'silence-connections': [0, 0],
  'lose-datagrams': [500, 5_000],
  'cut-store': [500, 6_000],
  'refuse-store': [500, 6_000],
  'pause-store': [500, 5_000],
  'forget-history': [0, 0],
  configure: [0, 0]
}

/** What a deployment does by itself: no request may be lost to it. */
export const plannedFaults: readonly FaultName[] = ['terminate-node', 'reload-node', 'drain-target', 'configure']

const allFaults = Object.keys(lengths) as FaultName[]

/** Faults in series that overlap; each third seed draws planned work only. The same seed gives the same plan. */
export function drawPlan ({ seed, vms, lengthMs }: PlanOptions): Fault[] {
  const random = Random.create(seed)
  const names = seed % 3 === 0 ? plannedFaults : allFaults
  const series = 3 + random.integerBelow(4)
  const faults = Array.from({ length: series }, () => drawSeries(random, names, vms, lengthMs)).flat()
  return faults.filter(({ at }) => at < lengthMs).sort((one, other) => one.at - other.at)
}

function drawSeries (random: Random, names: readonly FaultName[], vms: number, lengthMs: number): Fault[] {
  const name = names[random.integerBelow(names.length)] as FaultName
  const [shortest, longest] = lengths[name]
  const first = random.integerBelow(lengthMs)
  const gapMs = 150 + random.integerBelow(2_000)
  const from = random.integerBelow(vms)
  const same = random.integerBelow(3) === 0
  return Array.from({ length: 1 + random.integerBelow(4) }, (_, index) => ({
    at: first + index * gapMs,
    name,
    vm: same ? from : (from + index) % vms,
    forMs: shortest + random.integerBelow(longest - shortest + 1)
  }))
}
