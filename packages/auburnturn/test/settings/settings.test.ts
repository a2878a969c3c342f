import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { exportSchema, findProfileRisks, findSettingsRisks, formatProblem, locateKey, parseDocument, profileSchema, readShippedProfiles, serviceSchema, settingsSchema } from '../../src/index.js'
import type { Profile } from '../../src/index.js'

const settings = suite('settings')

function listProblems (text: string, schema: Parameters<typeof parseDocument>[1] = profileSchema): string[] {
  const parsed = parseDocument(text, schema)
  return parsed.kind === 'valid' ? [] : parsed.problems.map(problem => formatProblem('f', problem))
}

function parseProfile (text: string): Profile {
  const parsed = parseDocument(text, profileSchema)
  if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed.problems))
  return parsed.value
}

settings('an error names file, line, column, key, what was found and what is allowed', () => {
  assert.equal(listProblems('{\n  "retry": {\n    "attempts": 9\n  }\n}'),
    ['f:3:5: retry.attempts: found 9; allowed: a whole number from 1 to 5'])
  assert.equal(listProblems('{ "class": "urgent" }'),
    ['f:1:3: class: found "urgent"; allowed: "critical", "internal", "browse"'])
  assert.equal(listProblems('{ "retry": { "hedge": "yes" } }'),
    ['f:1:14: retry.hedge: found "yes"; allowed: true or false'])
  assert.equal(listProblems('{ "retry": 2 }'),
    ['f:1:3: retry: found 2; allowed: an object in { } with the keys share, attempts, hedge'])
  assert.equal(listProblems('{ "idempotency": { "methods": ["get"] } }'),
    ['f:1:32: idempotency.methods.0: found "get"; allowed: a method in capital letters, such as "GET"'])
})

settings('all errors are listed together, in the order of the file', () => {
  assert.equal(listProblems('{\n  "note": 1,\n  "retries": {},\n  "admission": { "slots": 0.5, "queue": -1 }\n}').map(line => line.split(': ')[1]),
    ['note', 'retries', 'admission.slots', 'admission.queue'])
})

settings('an unknown key is reported at the position of the key', () => {
  assert.equal(listProblems('{\n  "retry": { "attempts": 2, "atempts": 3 }\n}'),
    ['f:2:29: retry.atempts: found an unknown key; allowed: share, attempts, hedge'])
  assert.equal(listProblems('{ "__proto__": { "note": "x" } }'),
    ['f:1:3: __proto__: found an unknown key; allowed: a documented key'])
})

settings('a duplicate key is reported at its second position', () => {
  assert.equal(listProblems('{\n  "note": "a",\n  "note": "b"\n}'),
    ['f:3:3: note: found this key a second time; allowed: each key once'])
})

settings('the error for a missing key names what is allowed there', () => {
  assert.ok(listProblems('{}', settingsSchema).includes('f:1:1: upstream: found nothing; allowed: an object in { } with the keys ip, port'))
  assert.equal(listProblems('{}', serviceSchema).length, 1)
})

settings('an address must be an IP number', () => {
  const lines = listProblems('{ "callers": { "ip": "localhost", "port": 70000 } }', settingsSchema)
  assert.ok(lines.includes('f:1:16: callers.ip: found "localhost"; allowed: an IP number in double quotes, such as "10.0.0.7"'))
  assert.ok(lines.includes('f:1:35: callers.port: found 70000; allowed: a whole number from 0 to 65535'))
})

settings('a syntax error names what is missing and its position', () => {
  assert.equal(listProblems('{\n  "note": "a"\n  "class": "browse"\n}'),
    ['f:3:3: found no comma; allowed: a comma between two entries'])
  assert.equal(listProblems(''), ['f:1:1: found no value; allowed: a value after the colon'])
})

settings('comments, trailing commas and a byte order mark are allowed', () => {
  assert.equal(listProblems('\uFEFF{ // a note\n "retry": { "attempts": 1, }, /* end */ }'), [])
})

settings('deeply nested and long documents are rejected', () => {
  assert.match(listProblems('['.repeat(100_000))[0] ?? '', /deeper nesting/)
  assert.match(listProblems(' '.repeat(2_000_000))[0] ?? '', /found 2000000 characters/)
})

settings('at most a hundred errors of a document are listed', () => {
  const repetitions = 100_000
  assert.is(listProblems('/*'.repeat(repetitions)).length, 100)
  assert.is(listProblems(`{${'"a":1,'.repeat(repetitions)}}`).length, 100)
  assert.is(listProblems(`{ "idempotency": { "rules": [${'{ "a": 1, "b": 2 },'.repeat(200)}] } }`).length, 100)
  assert.is(listProblems(`{${Array.from({ length: repetitions / 2 }, (_, index) => `"k${index}":1`).join()}}`).length, 100)
})

settings('the position of a key is found for a warning', () => {
  assert.equal(locateKey('{\n  "retry": { "attempts": 4 }\n}', ['retry', 'attempts']), { line: 2, column: 14 })
  assert.equal(locateKey('{\n  "retry": {}\n}', ['retry', 'attempts']), { line: 2, column: 3 })
})

settings('the shipped profiles are valid, have a note and no risk', () => {
  const shipped = readShippedProfiles()
  assert.equal([...shipped.keys()], ['catalogue-pages', 'internal-checks', 'orders'])
  for (const [name, text] of shipped) assert.equal(findProfileRisks(parseProfile(text)), [], name)
})

settings('each risky value is reported at its key', () => {
  const risky = parseProfile(`{
    "note": "x",
    "timeouts": { "callMs": 20000, "queueMs": 30000, "connectMs": 25000 },
    "idempotency": { "methods": ["GET", "POST"], "rules": [{ "method": "PUT", "path": "/stock/*", "idempotent": true }] },
    "retry": { "attempts": 3, "share": 0.5, "hedge": true },
    "drain": { "newWorkMs": 20000 },
    "quarantine": { "crashes": 9 }
  }`)
  const found = findProfileRisks(risky)
  assert.equal(found.map(risk => risk.path.join('.')), [
    'idempotency.methods.1', 'idempotency.rules.0', 'retry.attempts', 'retry.share',
    'timeouts.queueMs', 'timeouts.connectMs', 'drain.newWorkMs', 'quarantine.crashes'
  ])
  assert.match(found[0]?.message ?? '', /hedging will send it twice/)
  assert.equal(findProfileRisks(parseProfile('{}')).map(risk => risk.path.join('.')), ['note'])
})

settings('an operator address outside the VM is a risk', () => {
  const address = { ip: '10.0.0.7', port: 1 }
  const value = settingsSchema.parse({ id: 'a', service: 'orders', region: 'r', failureDomain: 'f', callers: address, peers: address, control: address, operator: address, upstream: address, platform: [address, address] })
  assert.equal(findSettingsRisks(value).map(risk => risk.path), [['operator', 'ip']])
})

settings('the exported schema describes every key for editors', () => {
  const exported = exportSchema(profileSchema) as { properties: Record<string, { description?: string, properties?: Record<string, { description?: string }> }> }
  for (const [key, subschema] of Object.entries(exported.properties)) {
    const described = subschema.description !== undefined || Object.values(subschema.properties ?? {}).every(inner => inner.description !== undefined)
    assert.ok(described, key)
  }
})

settings.run()
