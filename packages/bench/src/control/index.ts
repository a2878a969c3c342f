/** Measures what the control plane costs as the fleet grows. Writes one JSON line per case to results/control.json. */
import { execFile } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { measureDaemons } from './daemon.js'

const fleetSizes = [10, 30, 100, 200]
const runFile = promisify(execFile)
const resultsFolder = fileURLToPath(new URL('../../../results/', import.meta.url))

const lines: string[] = []
for (const size of fleetSizes) recordLine((await runFile(process.execPath, [resolvePath('worker.js'), String(size)])).stdout)
recordLine((await runFile(process.execPath, ['--expose-gc', resolvePath('memory.js')])).stdout)
recordLine(JSON.stringify(await measureDaemons()))
mkdirSync(resultsFolder, { recursive: true })
writeFileSync(`${resultsFolder}control.json`, `${lines.join('\n')}\n`)

function recordLine (line: string): void {
  lines.push(line.trim())
  process.stdout.write(`${line.trim()}\n`)
}

function resolvePath (file: string): string {
  return fileURLToPath(new URL(file, import.meta.url))
}
