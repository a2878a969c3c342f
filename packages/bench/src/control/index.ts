/** What control costs as the fleet grows. Writes one JSON line a case to results/control.json. */
import { execFile } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { measureDaemons } from './daemon.js'

const sizes = [10, 30, 100, 200]
const run = promisify(execFile)
const results = fileURLToPath(new URL('../../../results/', import.meta.url))

const lines: string[] = []
for (const size of sizes) keep((await run(process.execPath, [pathOf('worker.js'), String(size)])).stdout)
keep((await run(process.execPath, ['--expose-gc', pathOf('memory.js')])).stdout)
keep(JSON.stringify(await measureDaemons()))
mkdirSync(results, { recursive: true })
writeFileSync(`${results}control.json`, `${lines.join('\n')}\n`)

function keep (line: string): void {
  lines.push(line.trim())
  process.stdout.write(`${line.trim()}\n`)
}

function pathOf (file: string): string {
  return fileURLToPath(new URL(file, import.meta.url))
}
