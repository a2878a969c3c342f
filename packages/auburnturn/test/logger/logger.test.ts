import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Logger } from '../../src/index.js'
import type { LogFields, LogLevel } from '../../src/index.js'

const logging = suite('logger')

function collect (level: LogLevel, write: (logger: Logger) => void): string[] {
  const lines: string[] = []
  write(Logger.create(level, line => { lines.push(line) }).createChild('unit'))
  return lines
}

/** Parses a line into its pairs; throws if the line is malformed. */
function parseLine (line: string): Record<string, string> {
  const pair = /([\w.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?: |$)/y
  const pairs: Record<string, string> = {}
  while (pair.lastIndex < line.length) {
    const match = pair.exec(line)
    if (match === null) throw new Error(`not a line of pairs: ${line}`)
    const value = match[2] as string
    pairs[match[1] as string] = value.startsWith('"') ? JSON.parse(value) as string : value
  }
  return pairs
}

logging('an event is one line of key=value pairs', () => {
  const [line] = collect('info', logger => { logger.info('started', { id: 'orders-1', port: 80, note: 'two words', gone: undefined }) })
  assert.match(line ?? '', /^time=\S+Z level=info subsystem=unit event=started id=orders-1 port=80 note="two words"$/)
})

logging('events below the level are dropped', () => {
  assert.is(collect('warn', logger => { logger.info('quiet'); logger.debug('quiet'); logger.warn('loud') }).length, 1)
})

logging('a value cannot inject a line or a pair', () => {
  const forged = 'x level=error\ntime=now event=forged "quoted" \u001b[31m \u2028 \u009b'
  const lines = collect('info', logger => { logger.info('seen', { value: forged }) })
  assert.is(lines.length, 1)
  // eslint-disable-next-line no-control-regex -- characters that must not occur
  assert.not.match(lines[0] ?? '', /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/)
  assert.is(parseLine(lines[0] ?? '').value, forged)
  assert.is(parseLine(lines[0] ?? '').event, 'seen')
})

logging('arbitrary values parse to the same values, seed 1', () => {
  fc.assert(fc.property(fc.string({ unit: 'binary', maxLength: 200 }), fc.string({ unit: 'binary', minLength: 1, maxLength: 20 }), (value, key) => {
    const fields: LogFields = Object.fromEntries([['value', value], [`k${key}`, 1]])
    const lines = collect('info', logger => { logger.info('seen', fields) })
    assert.is(lines.length, 1)
    assert.is((lines[0] ?? '').split(/[\r\n\u2028\u2029]/).length, 1)
    const pairs = parseLine(lines[0] ?? '')
    assert.is(pairs.value, value)
    assert.is(pairs.level, 'info')
  }), { seed: 1, numRuns: 500 })
})

logging('a very long value is truncated', () => {
  const [line] = collect('info', logger => { logger.info('seen', { value: 'a'.repeat(100_000) }) })
  assert.ok((line ?? '').length < 2_200)
})

logging('an event at or above the level is written as one line of pairs', () => {
  const lines: string[] = []
  const log = Logger.create('info', line => { lines.push(line) }).createChild('relay')
  log.debug('quiet')
  log.warn('region-apart', { region: 'kochi' })
  assert.is(lines.length, 1)
  assert.match(lines[0] as string, /level=warn subsystem=relay event=region-apart region=kochi$/)
})

logging.run()
