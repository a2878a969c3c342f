import { readFileSync } from 'node:fs'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { fillPage, pageFile } from '../src/capacity/page.js'
import { createTables } from '../src/capacity/tables.js'

const capacity = suite('capacity page')

capacity('has the tables that the committed results produce', () => {
  const page = readFileSync(pageFile, 'utf8')
  assert.is(fillPage(page, createTables()), page, 'docs/CAPACITY.md is out of date: run `npm run capacity`')
})

capacity('replaces a changed table and rejects a page without markers', () => {
  assert.is(fillPage('a\n<!-- x -->\nold\n<!-- /x -->\n', new Map([['x', 'new']])), 'a\n<!-- x -->\nnew\n<!-- /x -->\n')
  assert.throws(() => fillPage('no markers', new Map([['x', 'new']])), /no markers for x/)
})

capacity.run()
