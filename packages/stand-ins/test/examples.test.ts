import { execFile } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const folder = fileURLToPath(new URL('../../../../examples/', import.meta.url))

/** Expected standard output of each example, without the colours that uvu turns on. */
const expected: Readonly<Record<string, string>> = {
  'embedded-router.js': [
    'order: done, 200 {"upstream":"orders-1","method":"POST","path":"/orders","bytes":19}',
    'unknown service: not-run no-target', ''
  ].join('\n'),
  'order-with-ticket.js': [
    'status 200, recorded no',
    'status 200, recorded yes', ''
  ].join('\n'),
  'profile-check.js': [
    'typo.jsonc:3:14: retry.atempts: found an unknown key; allowed: share, attempts, hedge',
    'risky.jsonc:4:39: idempotency.methods.1: warning: every POST may run more than once and hedging will send it twice; mark single paths by a rule instead', ''
  ].join('\n'),
  'supervised-part.js': [
    'level=error subsystem=auburnturn event=part-failed part=reader error="Error: the source went away" restarts=0',
    'started 2 times', ''
  ].join('\n')
}

const examples = suite('examples')

examples('every example has an expected output', () => {
  assert.equal(readdirSync(folder).filter(file => file.endsWith('.js')).sort(), Object.keys(expected))
})

for (const [file, output] of Object.entries(expected)) {
  examples(`${file} runs and prints the expected output`, async () => {
    const { stdout, stderr } = await promisify(execFile)(process.execPath, [`${folder}${file}`], { timeout: 30_000, env: { ...process.env, FORCE_COLOR: '0' } })
    assert.is(stderr, '')
    assert.is(stdout, output)
  })
}

examples.run()
