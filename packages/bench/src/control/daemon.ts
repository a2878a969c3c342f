import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { PlatformService } from '@auburnturn/stand-ins'
import { sleep } from './numbers.js'

const ip = '127.0.0.1'
const daemonCount = 3
const warmUpMs = 12_000
const measurementMs = 10_000

/** Measures the maximum resident memory and processor time of idle daemons that form a relay among themselves. */
export async function measureDaemons (): Promise<Record<string, unknown>> {
  const folder = mkdtempSync(join(tmpdir(), 'auburnturn-bench-'))
  const platform = await PlatformService.create()
  platform.publish('profile/calm', '{}')
  platform.publish('service/orders', '{ "profile": "calm" }')
  const firstPort = 21_000 + process.pid % 2_000
  platform.setMembers(Array.from({ length: daemonCount }, (_, index) => ({
    id: `orders-${index}`, service: 'orders', region: 'one', failureDomain: 'one-a', ip, peerPort: firstPort + 4 * index, controlPort: firstPort + 4 * index + 1, state: 'live' as const
  })))
  const daemonFile = join(dirname(createRequire(import.meta.url).resolve('auburnturnd/package.json')), 'bin', 'auburnturnd.js')
  const children = Array.from({ length: daemonCount }, (_, index) => {
    const createAddress = (offset: number): { ip: string, port: number } => ({ ip, port: firstPort + 4 * index + offset })
    const file = join(folder, `${index}.json`)
    writeFileSync(file, JSON.stringify({
      id: `orders-${index}`, service: 'orders', region: 'one', failureDomain: 'one-a', peers: createAddress(0), control: createAddress(1), callers: createAddress(2), operator: createAddress(3), upstream: { ip, port: 9 }, platform: [{ ip, port: platform.port }], log: { level: 'error' }
    }))
    return spawn(daemonFile, ['--settings', file], { stdio: 'ignore' })
  })
  try {
    await sleep(warmUpMs)
    const ticksBefore = children.map(child => readTicks(child.pid as number))
    await sleep(measurementMs)
    const ticks = children.map((child, index) => readTicks(child.pid as number) - (ticksBefore[index] as number))
    const residentMb = children.map(child => readResidentMb(child.pid as number))
    const ticksPerSecond = 100
    return { bench: 'control', case: 'daemon', residentMegabytes: Math.max(...residentMb), idleCore: Math.max(...ticks) / ticksPerSecond / (measurementMs / 1000) }
  } finally {
    for (const child of children) child.kill('SIGTERM')
    await sleep(500)
    await platform.close()
    rmSync(folder, { recursive: true })
  }
}

/** Resident memory of a process, in megabytes. */
function readResidentMb (pid: number): number {
  const line = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(line?.[1]) / 1024
}

/** User and system time of a process, in clock ticks. */
function readTicks (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return Number(fields[11]) + Number(fields[12])
}
