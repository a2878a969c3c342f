import { listCells } from './cells.js'
import { runCell } from './run.js'

const [fault, step] = process.argv.slice(2)
for (const cell of listCells().filter(c => c.impossible === undefined && (fault === undefined || fault === '-' || c.fault === fault) && (step === undefined || c.step === step))) {
  for (const kind of ['idempotent', 'plain', 'ticketed'] as const) {
    const start = performance.now()
    const run = await runCell(cell, kind, 1)
    console.log(cell.fault, cell.step, kind, run.told.join(','), Math.round(performance.now() - start), 'ms', run.breaches.map(b => `\n   ${b.kind}: ${b.detail}`).join(''))
    if (process.env.EVENTS !== undefined) for (const e of run.events) console.log('     ', JSON.stringify(e))
  }
}
