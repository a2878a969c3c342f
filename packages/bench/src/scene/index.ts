/** Plays load patterns with the decision modules of the sidecar in virtual time: `npm run bench -- scene [PART OF A NAME] [SEEDS]`. */
import { playScene } from './play-scene.js'
import { scenes } from './scenes.js'
import type { SceneResult, Tally } from './types.js'

/** Number of seeds unless the command names it. */
const defaultSeeds = 3

const filter = process.argv[3] ?? ''
const seeds = Number(process.argv[4] ?? defaultSeeds)

for (const scene of scenes.filter(({ name }) => name.includes(filter))) {
  const results: SceneResult[] = []
  for (let seed = 1; seed <= seeds; seed++) results.push(await playScene(scene, seed))
  process.stdout.write(`${formatScene(scene.name, results)}\n`)
}

function formatScene (name: string, results: readonly SceneResult[]): string {
  const total = formatShare(results.map(({ total }) => total))
  const worst = mean(results.map(({ windows }) => mean(windows.map(readWorth).sort((one, other) => one - other).slice(0, 2))))
  const attempts = mean(results.map(({ attempts, total }) => attempts / total.requests))
  const kinds = [...(results[0] as SceneResult).kinds.keys()].map(kind => `  ${kind.padEnd(8)}${formatShare(results.map(({ kinds }) => kinds.get(kind) as Tally))}`)
  return [`${name.padEnd(18)}${total}  worst two windows ${worst.toFixed(3)}  attempts ${attempts.toFixed(2)}`, ...kinds].join('\n')
}

function formatShare (tallies: readonly Tally[]): string {
  const share = (read: (tally: Tally) => number): string => mean(tallies.map(tally => read(tally) / Math.max(1, tally.requests))).toFixed(3)
  return `worth ${mean(tallies.map(readWorth)).toFixed(3)}  in time ${share(tally => tally.inTime)}  late ${share(tally => tally.late)}  refused ${share(tally => tally.refused)} (again ${share(tally => tally.refusedAgain)})  failed ${share(tally => tally.failed)}`
}

function readWorth ({ worthEarned, worthOwed }: Tally): number {
  return worthOwed === 0 ? 1 : worthEarned / worthOwed
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}
