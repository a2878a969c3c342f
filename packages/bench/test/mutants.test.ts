import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { historyRules } from 'auburnturn'
import { mutants } from './mutants/mutants.js'

const core = fileURLToPath(new URL('../../../auburnturn/src/core/', import.meta.url))

const mutantsSuite = suite('mutants')

mutantsSuite('the code replaced by each edit occurs exactly once in its file', () => {
  for (const { name, edits } of mutants) {
    for (const { file, find } of edits) assert.is(readFileSync(`${core}${file}`, 'utf8').split(find).length, 2, `${name}: ${file}: ${find}`)
  }
})

mutantsSuite('every rule has a mutant', () => {
  assert.equal([...new Set(mutants.map(({ rule }) => rule))].sort(), Object.keys(historyRules).sort())
})

mutantsSuite.run()
