import { adaptive, baselines } from './contenders.js'
import { runScene } from './run.js'
import { defaults, scenes } from './scenes.js'

if (process.env.HEDGE !== undefined) Object.assign(defaults.retry, { hedge: true })
const wanted = process.argv[3] ?? ''
for (const scene of scenes.filter(({ name }) => name.includes(wanted))) {
  for (const contender of process.env.ONLY === undefined ? [adaptive, ...baselines] : [adaptive, ...baselines.slice(2)]) {
    const f = await runScene(scene, contender, 1)
    process.stdout.write(`${scene.name.padEnd(32)} ${contender.name.padEnd(16)} p50 ${f.p50.toFixed(1)} p99 ${f.p99.toFixed(1)} p999 ${f.p999.toFixed(1)} good ${f.goodput.toFixed(3)} ref ${f.refused.toFixed(4)} fail ${f.failed.toFixed(4)} retry ${f.retries.toFixed(4)} hop1 ${f.oneHop.toFixed(2)} crashes ${f.crashes} msgs ${f.messagesPerSecond} B/s ${f.bytesPerSecond.toFixed(0)} ${f.perTarget.join('/')}\n`)
  }
}
