import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findProfileRisks, findSettingsRisks, formatProblem, locateKey, parseDocument, profileSchema, serviceSchema, settingsSchema } from '../../src/index.js'

const fuzzing = suite('documents of random shape')
const schemas = [settingsSchema, profileSchema, serviceSchema]
const keys = ['note', 'class', 'timeouts', 'callMs', 'retry', 'attempts', 'idempotency', 'rules', 'methods', 'platform', 'ip', 'port', 'profile', '__proto__', 'constructor', 'toString']

/** Generates JSON in which many keys are keys of a schema. */
const json = fc.letrec(tie => ({
  value: fc.oneof({ maxDepth: 4 }, fc.constant(null), fc.boolean(), fc.double(), fc.integer(), fc.string(), fc.constantFrom('GET', 'browse', '127.0.0.1'), tie('list'), tie('object')),
  list: fc.array(tie('value'), { maxLength: 4 }),
  object: fc.array(fc.tuple(fc.oneof(fc.constantFrom(...keys), fc.string()), tie('value')), { maxLength: 6 })
    .map(pairs => new Map(pairs))
}))

function formatJson (value: unknown): string {
  if (value instanceof Map) return `{${[...value].map(([key, inner]) => `${JSON.stringify(key)}: ${formatJson(inner)}`).join(', ')}}`
  if (Array.isArray(value)) return `[${value.map(formatJson).join(', ')}]`
  return JSON.stringify(value) ?? 'null'
}

/** Checks that any text gives a valid value, or problems that point into the text and say what was found and allowed. */
function checkParsing (text: string): void {
  const lines = text.replace(/^\uFEFF/, '').split(/\r\n|\r|\n/)
  for (const schema of schemas) {
    const parsed = parseDocument(text, schema)
    if (parsed.kind === 'valid') continue
    assert.ok(parsed.problems.length > 0 && parsed.problems.length <= 100)
    for (const problem of parsed.problems) {
      assert.match(problem.message, /^found [^]+; allowed: \S/)
      const line = lines[problem.line - 1]
      assert.ok(line !== undefined && problem.column >= 1 && problem.column <= line.length + 1, formatProblem('f', problem))
    }
  }
}

fuzzing('any text gives a value or described problems, seed 1', () => {
  fc.assert(fc.property(fc.string({ unit: 'binary', maxLength: 300 }), checkParsing), { seed: 1, numRuns: 500 })
})

fuzzing('any JSON gives a value or described problems, seed 2', () => {
  fc.assert(fc.property(json.object.map(formatJson), checkParsing), { seed: 2, numRuns: 1_000 })
})

fuzzing('malformed JSON with comments gives described problems, seed 3', () => {
  const pieces = fc.constantFrom('{', '}', '[', ']', ':', ',', '"', '"note"', '"retry"', '1', '-', 'true', 'nul', '//', '/*', '*/', '\n', '\\u12', '\uFEFF', ' ')
  fc.assert(fc.property(fc.array(pieces, { maxLength: 40 }).map(parts => parts.join('')), checkParsing), { seed: 3, numRuns: 1_000 })
})

fuzzing('finding and locating the risks of any valid profile never throws, seed 4', () => {
  const profile = fc.record({
    note: fc.string({ maxLength: 50 }),
    timeouts: fc.record({ callMs: fc.integer({ min: 1, max: 3_600_000 }), queueMs: fc.integer({ min: 1, max: 3_600_000 }) }, { requiredKeys: [] }),
    idempotency: fc.record({ methods: fc.array(fc.constantFrom('GET', 'POST', 'PUT'), { maxLength: 5 }), rules: fc.array(fc.record({ method: fc.constantFrom('GET', 'POST'), path: fc.constantFrom('/', '/a*'), idempotent: fc.boolean() }), { maxLength: 5 }) }, { requiredKeys: [] }),
    retry: fc.record({ share: fc.double({ min: 0, max: 1, noNaN: true }), attempts: fc.integer({ min: 1, max: 5 }), hedge: fc.boolean() }, { requiredKeys: [] })
  }, { requiredKeys: [] })
  fc.assert(fc.property(profile, value => {
    const text = JSON.stringify(value, null, 2)
    const parsed = parseDocument(text, profileSchema)
    if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed.problems))
    for (const risk of findProfileRisks(parsed.value)) assert.ok(locateKey(text, risk.path).line >= 1)
  }), { seed: 4, numRuns: 500 })
})

fuzzing('finding the risks of settings with any addresses never throws, seed 5', () => {
  const address = fc.record({ ip: fc.oneof(fc.ipV4(), fc.ipV6()), port: fc.integer({ min: 0, max: 65_535 }) })
  fc.assert(fc.property(fc.array(address, { minLength: 6, maxLength: 9 }), addresses => {
    const [callers, peers, control, operator, upstream, ...platform] = addresses
    const text = JSON.stringify({ id: 'a', service: 'orders', region: 'r', failureDomain: 'f', callers, peers, control, operator, upstream, platform })
    const parsed = parseDocument(text, settingsSchema)
    if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed.problems))
    findSettingsRisks(parsed.value)
  }), { seed: 5, numRuns: 200 })
})

fuzzing.run()
