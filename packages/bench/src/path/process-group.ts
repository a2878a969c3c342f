import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { ip, platformIp } from './constants.js'

/** Unit of processor time in /proc/PID/stat, in milliseconds (USER_HZ is 100 on Linux). */
const clockTickMs = 10

const daemonFile = join(dirname(createRequire(import.meta.url).resolve('auburnturnd/package.json')), 'bin', 'auburnturnd.js')
const helperFolder = dirname(fileURLToPath(import.meta.url))

/** Ports of one daemon; all are on the loopback address of the bench. */
export interface Ports { readonly callers: number, readonly peers: number, readonly control: number, readonly operator: number }

/** Processes that the bench has started; `close` stops all of them. */
export class ProcessGroup {
  private readonly children: ChildProcess[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'auburnturn-bench-'))

  private constructor () {}

  static create (): ProcessGroup {
    return new ProcessGroup()
  }

  /** Starts an upstream and returns its port. */
  async startUpstream (): Promise<number> {
    return await this.startHelper('upstream.js')
  }

  /** Starts a pipe to an upstream and returns its port. */
  async startPipe (upstreamPort: number): Promise<number> {
    return await this.startHelper('pipe.js', String(upstreamPort))
  }

  private async startHelper (file: string, ...args: readonly string[]): Promise<number> {
    const child = spawn(process.execPath, [join(helperFolder, file), ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    this.children.push(child)
    const [line] = await once(child.stdout, 'data') as [Buffer]
    return Number(line.toString())
  }

  /** Starts a daemon, waits until it is healthy and returns its process id. */
  async startDaemon (id: string, service: string, ports: Ports, upstreamPort: number, platformPort: number): Promise<number> {
    const createAddress = (port: number): unknown => ({ ip, port })
    const settings = {
      id,
      service,
      region: 'bench',
      failureDomain: 'bench-a',
      callers: createAddress(ports.callers),
      peers: createAddress(ports.peers),
      control: createAddress(ports.control),
      operator: createAddress(ports.operator),
      upstream: createAddress(upstreamPort),
      platform: [{ ip: platformIp, port: platformPort }],
      log: { level: 'warn' }
    }
    const file = join(this.folder, `${id}.jsonc`)
    writeFileSync(file, JSON.stringify(settings))
    const child = spawn(process.execPath, [...createDaemonFlags(id), daemonFile, '--settings', file], { stdio: ['ignore', 'inherit', 'inherit'] })
    this.children.push(child)
    await waitForHealth(ports.operator)
    return child.pid ?? 0
  }

  async close (): Promise<void> {
    await Promise.all(this.children.map(async child => {
      if (child.exitCode !== null) return
      const ended = once(child, 'exit')
      child.kill('SIGTERM')
      await ended
    }))
    rmSync(this.folder, { recursive: true })
  }
}

/** Finds ports on which no process listens at present. */
export async function findFreePorts (): Promise<Ports> {
  const servers = [createServer(), createServer(), createServer(), createServer()]
  const [callers = 0, peers = 0, control = 0, operator = 0] = await Promise.all(servers.map(async server => {
    server.listen(0, ip)
    await once(server, 'listening')
    return (server.address() as AddressInfo).port
  }))
  await Promise.all(servers.map(async server => { await new Promise(resolve => server.close(resolve)) }))
  return { callers, peers, control, operator }
}

/** Processor time that a process has used, in milliseconds. */
export function readCpuMs (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) * clockTickMs
}

/** Resident memory of a process, in megabytes. */
export function readResidentMb (pid: number): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Math.round(Number(match?.[1] ?? 0) / 1024)
}

/** Flags that make the first daemon write a CPU profile to the folder given in AUBURNTURN_PROFILE, if it is set. */
function createDaemonFlags (id: string): string[] {
  const folder = process.env.AUBURNTURN_PROFILE
  return folder === undefined || id !== 'orders-1' ? [] : ['--cpu-prof', `--cpu-prof-dir=${folder}`]
}

async function waitForHealth (port: number): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt++) {
    const healthy = await fetch(`http://${ip}:${port}/health`).then(answer => answer.ok, () => false)
    if (healthy) return
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  throw new Error(`the daemon with operator port ${port} did not become healthy`)
}
