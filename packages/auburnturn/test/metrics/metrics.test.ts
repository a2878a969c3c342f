import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ManualClock, Metrics } from '../../src/index.js'
import { parsePrometheus } from '../fixtures/prometheus.js'

const metering = suite('metrics')

metering('what is counted, shown and recorded parses as Prometheus text', () => {
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

metering('label values are escaped and come back as they were', () => {
  const metrics = Metrics.create()
  const hostile = 'a"} 9\nforged_total 1\\'
  metrics.count('calls_total', { cause: hostile })
  const { samples } = parsePrometheus(metrics.format())
  assert.equal(samples, [{ name: 'auburnturn_calls_total', labels: { cause: hostile }, value: 1 }])
})

metering('quantiles are of the last one to two minutes, totals of all time', async () => {
  const clock = ManualClock.create()
  const metrics = Metrics.create({ clock })
  const read = (): Record<string, number> => (metrics.dump() as { durations: Record<string, Record<string, number>> }).durations.call_seconds as Record<string, number>
  metrics.recordDuration('call_seconds', 500)
  await clock.advance(61_000)
  metrics.recordDuration('call_seconds', 5)
  assert.ok((read().p99Ms ?? 0) > 490)
  await clock.advance(61_000)
  metrics.recordDuration('call_seconds', 5)
  assert.ok((read().p99Ms ?? 0) < 6)
  assert.is(read().count, 3)
  await clock.advance(600_000)
  assert.is(read().p99Ms, 0)
})

metering('a duration out of range is held at the end of it', () => {
  const metrics = Metrics.create()
  metrics.recordDuration('call_seconds', 1e12)
  metrics.recordDuration('call_seconds', -5)
  assert.is(parsePrometheus(metrics.format()).samples.length, 5)
})

metering('a reading that is no number is left out', () => {
  const metrics = Metrics.create()
  metrics.register('in_flight', 'gauge', () => Number.NaN)
  assert.is(metrics.format().trim(), '')
})

metering.run()
