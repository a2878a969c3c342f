import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ManualClock, Metrics } from '../../src/index.js'
import { parsePrometheus } from '../fixtures/prometheus.js'

const registry = suite('metrics')

registry('counters, gauges and durations parse as Prometheus text', () => {
  const metrics = Metrics.create()
  metrics.count('calls_total', { verdict: 'done' })
  metrics.count('retries_total', {}, 2)
  metrics.count('calls_total', { verdict: 'not-run', cause: 'overloaded' })
  metrics.register('in_flight', 'gauge', () => 3)
  metrics.recordDuration('call_seconds', 12)
  const { types, samples } = parsePrometheus(metrics.format())
  assert.equal([...types], [['auburnturn_calls_total', 'counter'], ['auburnturn_retries_total', 'counter'], ['auburnturn_in_flight', 'gauge'], ['auburnturn_call_seconds', 'summary']])
  assert.equal(samples.filter(({ name }) => name === 'auburnturn_calls_total').map(({ labels }) => labels), [{ verdict: 'done' }, { verdict: 'not-run', cause: 'overloaded' }])
  assert.is(samples.find(({ name }) => name === 'auburnturn_retries_total')?.value, 2)
  assert.is(samples.find(({ name }) => name === 'auburnturn_call_seconds_sum')?.value, 0.012)
})

registry('label values are escaped and parse to the same values', () => {
  const metrics = Metrics.create()
  const injection = 'a"} 9\nforged_total 1\\'
  metrics.count('calls_total', { cause: injection })
  const { samples } = parsePrometheus(metrics.format())
  assert.equal(samples, [{ name: 'auburnturn_calls_total', labels: { cause: injection }, value: 1 }])
})

registry('quantiles cover the last one to two minutes, totals all durations', async () => {
  const clock = ManualClock.create()
  const metrics = Metrics.create({ clock })
  const readDurations = (): Record<string, number> => (metrics.dump() as { durations: Record<string, Record<string, number>> }).durations.call_seconds as Record<string, number>
  metrics.recordDuration('call_seconds', 500)
  await clock.advance(61_000)
  metrics.recordDuration('call_seconds', 5)
  assert.ok((readDurations().p99Ms ?? 0) > 490)
  await clock.advance(61_000)
  metrics.recordDuration('call_seconds', 5)
  assert.ok((readDurations().p99Ms ?? 0) < 6)
  assert.is(readDurations().count, 3)
  await clock.advance(600_000)
  assert.is(readDurations().p99Ms, 0)
})

registry('a duration out of range is recorded as the limit of the range', () => {
  const metrics = Metrics.create()
  metrics.recordDuration('call_seconds', 1e12)
  metrics.recordDuration('call_seconds', -5)
  assert.is(parsePrometheus(metrics.format()).samples.length, 5)
})

registry('a gauge whose value is not a number is omitted', () => {
  const metrics = Metrics.create()
  metrics.register('in_flight', 'gauge', () => Number.NaN)
  assert.is(metrics.format().trim(), '')
})

registry.run()
