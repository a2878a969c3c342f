/**
 * Compares the adaptive policy with the baselines in simulated time: `npm run bench -- routing [PART OF A SCENARIO NAME]`.
 * Without a name, also writes the result file, the plot and the sections of docs/ROUTING.md.
 */
import { adaptiveSetup, baselineSetups, hedgedTwoChoicesSetup } from './policy-setups.js'
import { seed } from './constants.js'
import { runChain } from './call-chain.js'
import type { ChainResult } from './call-chain.js'
import { evaluateTargets } from './evaluate-targets.js'
import type { Comparison } from './evaluate-targets.js'
import { replaceSection, writeRepositoryFile } from './pages.js'
import { drawBudgetPlot } from './plot.js'
import { runScenario } from './run-scenario.js'
import { budgetScenarios, scenarios, withMeasuringBudget, withLocalBelow } from './scenarios.js'
import { measureChoiceUs, measureSubsetSpread } from './subset-spread.js'
import { formatChains, formatHedging, formatEvaluations, formatLocalThresholds, formatScenarios, formatSlowCallCauses, formatSummary, formatTable } from './table.js'
import type { RunResult, Scenario } from './types.js'

/** Measuring budgets to compare, as multiples of the default. */
const budgetMultiples = [0, 0.25, 0.5, 1, 2, 4, 8, 16]

/** Thresholds of `localBelow` to compare: below this load, a node runs a call itself. */
const localThresholds = [0, 0.3, 0.5, 0.7, 0.9, 1]

const pageFile = 'docs/ROUTING.md'

/** Selects the scenarios whose name contains it; undefined selects all. */
const nameFilter = process.argv[3]
const comparisons: Comparison[] = []
for (const scenario of scenarios.filter(({ name }) => name.includes(nameFilter ?? ''))) comparisons.push(await comparePolicies(scenario))
print(formatScenarios(comparisons))
if (nameFilter === undefined) await runRemaining()

async function comparePolicies (scenario: Scenario): Promise<Comparison> {
  const ours = await runScenario(scenario, adaptiveSetup, seed)
  const baselines: RunResult[] = []
  for (const baseline of baselineSetups) baselines.push(await runScenario(scenario, baseline, seed))
  if (scenario.group === 'shifting') return { scenario, ours, baselines, hedged: await runScenario(scenario, hedgedTwoChoicesSetup, seed) }
  if (scenario.group !== 'steady') return { scenario, ours, baselines }
  return { scenario, ours, baselines, unmeasured: await runScenario(withMeasuringBudget(scenario, 0), adaptiveSetup, seed) }
}

async function runRemaining (): Promise<void> {
  const budget = await runMeasuringBudgets()
  const local = await runLocalThresholds()
  const depth = await runChains()
  const spread = [[10, 50, 10], [20, 100, 10], [100, 500, 10], [1_000, 5_000, 10]].map(([targets, routers, size]) => measureSubsetSpread(targets as number, routers as number, size as number))
  const evaluations = evaluateTargets(comparisons, budget.flatMap(({ runs }) => runs))
  writeRepositoryFile('packages/bench/results/routing.json', `${JSON.stringify({ seed, judgements: evaluations, scenes: comparisons.map(({ ours, baselines, unmeasured, hedged }) => ({ ours, baselines, unmeasured, hedged })), budget, local, depth, spread }, undefined, 1)}\n`)
  writeRepositoryFile('docs/routing-budget.svg', drawBudgetPlot(budget.map(({ scene, runs }) => ({ name: scene, points: runs.map(({ p99 }, index) => ({ multiple: budgetMultiples[index] as number, p99 })) }))))
  const sections = {
    summary: formatSummary(comparisons),
    targets: formatEvaluations(evaluations),
    slowest: formatSlowCallCauses(comparisons),
    hedges: formatHedging(comparisons),
    budget: formatTable(['scene', ...budgetMultiples.map(multiple => `${multiple}x`)], budget.map(({ scene, runs }) => [scene, ...runs.map(({ p99 }) => p99.toFixed(1))])),
    local: formatLocalThresholds(local),
    depth: formatChains(depth),
    spread: formatTable(['targets', 'routers', 'subset', 'routers a target: least', 'mean', 'most', 'pairs moved when one leaves'], spread.map(row => [row.targets, row.routers, row.size, row.least, row.mean, row.most, `${(100 * row.moved).toFixed(2)}%`].map(String)))
  }
  for (const [name, content] of Object.entries(sections)) {
    replaceSection(pageFile, name, content)
    if (name !== 'summary') print(content)
  }
  print(`One choice: ${[3, 10, 20].map(count => `${measureChoiceUs(count).toFixed(2)} us among ${count}`).join(', ')}`)
}

async function runMeasuringBudgets (): Promise<Array<{ scene: string, runs: RunResult[] }>> {
  const results = []
  for (const scenario of budgetScenarios) {
    const runs: RunResult[] = []
    for (const multiple of budgetMultiples) runs.push(await runScenario(withMeasuringBudget(scenario, multiple), adaptiveSetup, seed))
    results.push({ scene: scenario.name, runs })
  }
  return results
}

async function runLocalThresholds (): Promise<Array<{ localBelow: number, even: RunResult, uneven: RunResult }>> {
  const even = scenarios.find(({ name }) => name === 'steady 70%, 4 targets') as Scenario
  const uneven = scenarios.find(({ group }) => group === 'uneven') as Scenario
  const rows = []
  for (const localBelow of localThresholds) {
    rows.push({ localBelow, even: await runScenario(withLocalBelow(even, localBelow), adaptiveSetup, seed), uneven: await runScenario(withLocalBelow(uneven, localBelow), adaptiveSetup, seed) })
  }
  return rows
}

async function runChains (): Promise<ChainResult[]> {
  const rows: ChainResult[] = []
  for (const depth of [3, 10]) {
    for (const retrying of ['one-layer', 'every-layer'] as const) rows.push(await runChain(depth, retrying, seed))
  }
  return rows
}

function print (text: string): void {
  process.stdout.write(`${text}\n\n`)
}
