import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { mayHaveRunStatus, notRunStatus } from '../../src/core/http/problem.js'

const problems = suite('problems')
const page = readFileSync(fileURLToPath(new URL('../../../../../docs/INTERFACE.md', import.meta.url)), 'utf8')

for (const [verdict, statuses] of [['not-run', notRunStatus], ['may-have-run', mayHaveRunStatus]] as const) {
  problems(`docs/INTERFACE.md lists every ${verdict} refusal that a caller can see with its status`, () => {
    for (const [cause, status] of Object.entries(statuses)) {
      // The caller has disconnected and does not see the status.
      if (cause === 'caller-gone') continue
      const rows = page.split('\n').filter(row => row.startsWith(`| ${status} | ${verdict} |`) && row.includes(`\`${cause}\``))
      assert.is(rows.length > 0, true, `${status} ${verdict} ${cause}`)
    }
  })
}

problems.run()
