/**
 * Applies each mutant to a temporary copy of the sources, builds it and runs the matrix on it: `npm run mutants -- [NAME]`.
 * NAME selects the mutants whose name contains it. Exits with 1 unless every mutant is caught.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { mutants } from './mutants.js'
import type { SourceEdit, Mutant } from './mutants.js'

/** Timeout of the matrix on one mutant, in milliseconds. */
const matrixTimeoutMs = 180_000

const root = resolve(import.meta.dirname, '../../../../..')
const workspaces = ['auburnturn', '@auburnturn']

/** Result of one mutant: detected by a finding, not detected, or not built because of an edit or the compiler. */
type MutantResult = { readonly kind: 'caught', readonly by: string } | { readonly kind: 'not-caught' } | { readonly kind: 'not-built', readonly reason: string }

function copySources (): string {
  const copy = mkdtempSync(join(tmpdir(), 'auburnturn-mutants-'))
  for (const name of ['package.json', 'tsconfig.json', 'tsconfig.base.json']) cpSync(join(root, name), join(copy, name))
  cpSync(join(root, 'packages'), join(copy, 'packages'), { recursive: true, preserveTimestamps: true, filter: path => !path.includes('node_modules') })
  linkPackages(copy)
  return copy
}

/** Links the installed packages into the copy, and the workspaces to their sources in the copy. */
function linkPackages (copy: string): void {
  mkdirSync(join(copy, 'node_modules', '@auburnturn'), { recursive: true })
  for (const name of readdirSync(join(root, 'node_modules'))) {
    if (!workspaces.includes(name) && name !== '.bin') symlinkSync(join(root, 'node_modules', name), join(copy, 'node_modules', name))
  }
  symlinkSync(join(copy, 'packages/auburnturn'), join(copy, 'node_modules/auburnturn'))
  for (const name of ['bench', 'stand-ins']) symlinkSync(join(copy, 'packages', name), join(copy, 'node_modules/@auburnturn', name))
}

/** Applies one edit; returns an error message if the code to replace does not occur exactly once. */
function applyEdit (copy: string, { file, find, replace }: SourceEdit): string | undefined {
  const path = join(copy, 'packages/auburnturn/src/core', file)
  const text = readFileSync(path, 'utf8')
  if (text.split(find).length !== 2) return `${file} does not contain exactly once: ${find}`
  writeFileSync(path, text.replace(find, () => replace))
  return undefined
}

/** Applies a mutant to the copy, runs the matrix and restores the files. */
function testMutant (copy: string, { edits, rule }: Mutant): MutantResult {
  const saved = edits.map(({ file }) => [file, readFileSync(join(copy, 'packages/auburnturn/src/core', file), 'utf8')] as const)
  const editErrors = edits.map(edit => applyEdit(copy, edit)).filter(error => error !== undefined)
  const result = editErrors.length > 0 ? { kind: 'not-built' as const, reason: editErrors.join('; ') } : runMatrixOnMutant(copy, rule)
  for (const [file, text] of saved) writeFileSync(join(copy, 'packages/auburnturn/src/core', file), text)
  return result
}

/** Builds the copy and runs the matrix; prefers a finding of the mutant's own rule as the one that caught it. */
function runMatrixOnMutant (copy: string, rule: Mutant['rule']): MutantResult {
  const build = spawnSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b', 'packages/bench'], { cwd: copy, encoding: 'utf8' })
  if (build.status !== 0) return { kind: 'not-built', reason: build.stdout }
  const matrix = ['packages/bench/dist/src/matrix/index.js', '--pairs', '60', '--histories', '3000']
  const run = spawnSync(process.execPath, matrix, { cwd: copy, encoding: 'utf8', timeout: matrixTimeoutMs })
  if (run.status === 0) return { kind: 'not-caught' }
  const findings = run.stdout.split('\n').filter(line => /^[a-z-]+ \(.*seed \d+\): /.test(line))
  const finding = findings.find(line => line.startsWith(rule)) ?? findings[0]
  return { kind: 'caught', by: (finding ?? run.stderr.slice(0, 300)).slice(0, 200) }
}

function report (mutant: Mutant, result: MutantResult): string {
  switch (result.kind) {
    case 'caught': return `caught      ${mutant.rule}: ${mutant.name}\n            ${result.by}`
    case 'not-caught': return `NOT CAUGHT  ${mutant.rule}: ${mutant.name}`
    case 'not-built': return `NOT BUILT   ${mutant.rule}: ${mutant.name}\n${result.reason}`
  }
}

const nameFilter = process.argv[2]
const selected = mutants.filter(({ name }) => nameFilter === undefined || name.includes(nameFilter))
const copy = copySources()
try {
  const results = selected.map(mutant => {
    const result = testMutant(copy, mutant)
    process.stdout.write(`${report(mutant, result)}\n`)
    return result
  })
  const caught = results.filter(({ kind }) => kind === 'caught').length
  process.stdout.write(`${caught} of ${results.length} mutants caught\n`)
  process.exitCode = caught === results.length ? 0 : 1
} finally {
  rmSync(copy, { recursive: true, force: true })
}
