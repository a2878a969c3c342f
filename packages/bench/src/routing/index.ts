import { adaptive, baselines, hedgedTwoChoices } from './contenders.js'
import { seed } from './constants.js'
import { runDepth } from './depth.js'
import type { DepthFigures } from './depth.js'
import { judge } from './judge.js'
import type { Comparison } from './judge.js'
import { fillSection, writePage } from './pages.js'
import { drawBudget } from './plot.js'
import { runScene } from './run.js'
import { budgetScenes, scenes, withBudget, withLocalBelow } from './scenes.js'
import { measureChoice, measureSpread } from './spread.js'
import { formatDepth, formatHedges, formatJudgements, formatLocal, formatScenes, formatSlowest, formatSummary, formatTable } from './table.js'
import type { Figures, Scene } from './types.js'

/** Multiples of the default measuring budget. */
const multiples = [0, 0.25, 0.5, 1, 2, 4, 8, 16]

/** Thresholds below which a node runs a call itself. */
const thresholds = [0, 0.3, 0.5, 0.7, 0.9, 1]

const page = 'docs/ROUTING.md'

/** `npm run bench -- routing [PART OF A SCENE'S NAME]`; with a name nothing is written. */
const wanted = process.argv[3]
const comparisons: Comparison[] = []
for (const scene of scenes.filter(({ name }) => name.includes(wanted ?? ''))) comparisons.push(await compare(scene))
print(formatScenes(comparisons))
if (wanted === undefined) await runRest()

async function compare (scene: Scene): Promise<Comparison> {
  const ours = await runScene(scene, adaptive, seed)
  const others: Figures[] = []
  for (const baseline of baselines) others.push(await runScene(scene, baseline, seed))
  if (scene.group === 'shifting') return { scene, ours, baselines: others, hedged: await runScene(scene, hedgedTwoChoices, seed) }
  if (scene.group !== 'steady') return { scene, ours, baselines: others }
  return { scene, ours, baselines: others, unmeasured: await runScene(withBudget(scene, 0), adaptive, seed) }
}

async function runRest (): Promise<void> {
  const budget = await runBudgets()
  const local = await runThresholds()
  const depth = await runDepths()
  const spread = [[10, 50, 10], [20, 100, 10], [100, 500, 10], [1_000, 5_000, 10]].map(([targets, routers, size]) => measureSpread(targets as number, routers as number, size as number))
  const judgements = judge(comparisons, budget.flatMap(({ runs }) => runs))
  writePage('packages/bench/results/routing.json', `${JSON.stringify({ seed, judgements, scenes: comparisons.map(({ ours, baselines: others, unmeasured, hedged }) => ({ ours, baselines: others, unmeasured, hedged })), budget, local, depth, spread }, undefined, 1)}\n`)
  writePage('docs/routing-budget.svg', drawBudget(budget.map(({ scene, runs }) => ({ name: scene, points: runs.map(({ p99 }, index) => ({ multiple: multiples[index] as number, p99 })) }))))
  const sections = {
    summary: formatSummary(comparisons),
    targets: formatJudgements(judgements),
    slowest: formatSlowest(comparisons),
    hedges: formatHedges(comparisons),
    budget: formatTable(['scene', ...multiples.map(multiple => `${multiple}x`)], budget.map(({ scene, runs }) => [scene, ...runs.map(({ p99 }) => p99.toFixed(1))])),
    local: formatLocal(local),
    depth: formatDepth(depth),
    spread: formatTable(['targets', 'routers', 'subset', 'routers a target: least', 'mean', 'most', 'pairs moved when one leaves'], spread.map(row => [row.targets, row.routers, row.size, row.least, row.mean, row.most, `${(100 * row.moved).toFixed(2)}%`].map(String)))
  }
  for (const [name, content] of Object.entries(sections)) {
    fillSection(page, name, content)
    if (name !== 'summary') print(content)
  }
  print(`One choice: ${[3, 10, 20].map(count => `${measureChoice(count).toFixed(2)} us among ${count}`).join(', ')}`)
}

async function runBudgets (): Promise<Array<{ scene: string, runs: Figures[] }>> {
  const curves = []
  for (const scene of budgetScenes) {
    const runs: Figures[] = []
    for (const multiple of multiples) runs.push(await runScene(withBudget(scene, multiple), adaptive, seed))
    curves.push({ scene: scene.name, runs })
  }
  return curves
}

async function runThresholds (): Promise<Array<{ localBelow: number, even: Figures, uneven: Figures }>> {
  const even = scenes.find(({ name }) => name === 'steady 70%, 4 targets') as Scene
  const uneven = scenes.find(({ group }) => group === 'uneven') as Scene
  const rows = []
  for (const localBelow of thresholds) {
    rows.push({ localBelow, even: await runScene(withLocalBelow(even, localBelow), adaptive, seed), uneven: await runScene(withLocalBelow(uneven, localBelow), adaptive, seed) })
  }
  return rows
}

async function runDepths (): Promise<DepthFigures[]> {
  const rows: DepthFigures[] = []
  for (const depth of [3, 10]) {
    for (const retrying of ['one-layer', 'every-layer'] as const) rows.push(await runDepth(depth, retrying, seed))
  }
  return rows
}

function print (text: string): void {
  process.stdout.write(`${text}\n\n`)
}
