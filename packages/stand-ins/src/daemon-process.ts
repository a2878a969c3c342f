import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'

const daemonFile = join(dirname(createRequire(import.meta.url).resolve('auburnturnd/package.json')), 'bin', 'auburnturnd.js')

/** Interval between health checks of a daemon that starts, in milliseconds. */
const healthPollMs = 100

/** Maximum time that a daemon may take to become healthy, in milliseconds. */
const startTimeoutMs = 30_000

/** Exit code of a process, or the signal that ended it. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** Runs one daemon as a child process. */
export class DaemonProcess {
  readonly name: string
  /** Resolves when the process has ended for any reason; a failed spawn counts as exit code 1. */
  readonly ended: Promise<ProcessExit>
  private readonly child: ChildProcess
  private hasEnded = false

  private constructor (name: string, settingsFile: string) {
    this.name = name
    // A separate process group: Ctrl-C in a terminal then reaches only the parent, which closes the daemon in order.
    this.child = spawn(process.execPath, [daemonFile, '--settings', settingsFile], { stdio: ['ignore', 'inherit', 'inherit'], detached: true })
    this.ended = new Promise(resolve => {
      const recordEnd = (code: number | null, signal: NodeJS.Signals | null): void => {
        this.hasEnded = true
        resolve({ code, signal })
      }
      this.child.once('exit', recordEnd)
      this.child.once('error', () => { recordEnd(1, null) })
    })
  }

  static create (name: string, settingsFile: string): DaemonProcess {
    return new DaemonProcess(name, settingsFile)
  }

  get pid (): number | undefined {
    return this.child.pid
  }

  /** Resolves when `healthUrl` answers with a 2xx status; rejects when the daemon ends first or exceeds the start timeout. */
  async waitUntilHealthy (healthUrl: string): Promise<void> {
    const deadline = Date.now() + startTimeoutMs
    while (Date.now() < deadline) {
      if (this.hasEnded) throw new Error(`the daemon of ${this.name} ended while it started`)
      const healthy = await fetch(healthUrl).then(response => response.ok, () => false)
      if (healthy) return
      await new Promise(resolve => setTimeout(resolve, healthPollMs))
    }
    throw new Error(`the daemon of ${this.name} did not start within ${startTimeoutMs} ms`)
  }

  sendSignal (signal: NodeJS.Signals): void {
    if (!this.hasEnded) this.child.kill(signal)
  }

  /** Sends SIGTERM, so that the daemon drains its calls, and resolves when the process has ended. */
  async close (): Promise<void> {
    this.sendSignal('SIGTERM')
    await this.ended
  }
}
