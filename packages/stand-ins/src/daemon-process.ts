import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'

const daemonPath = join(dirname(createRequire(import.meta.url).resolve('auburnturnd/package.json')), 'bin', 'auburnturnd.js')

/** Pause between two looks at the health of a daemon that starts, in milliseconds. */
const healthPollMs = 100

/** Longest wait for a daemon to start, in milliseconds. */
const startTimeoutMs = 30_000

/** How a daemon ended: its exit code, or the signal that killed it. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** One daemon as a process of its own. */
export class DaemonProcess {
  readonly name: string
  /** Resolves when the process has ended, for whatever reason. */
  readonly ended: Promise<ProcessExit>
  private readonly child: ChildProcess
  private hasEnded = false

  private constructor (name: string, settingsFile: string) {
    this.name = name
    // Its own process group, so that Ctrl-C in a terminal reaches only its parent, which then ends it.
    this.child = spawn(process.execPath, [daemonPath, '--settings', settingsFile], { stdio: ['ignore', 'inherit', 'inherit'], detached: true })
    this.ended = new Promise(resolve => {
      const end = (code: number | null, signal: NodeJS.Signals | null): void => {
        this.hasEnded = true
        resolve({ code, signal })
      }
      this.child.once('exit', end)
      this.child.once('error', () => { end(1, null) })
    })
  }

  static create (name: string, settingsFile: string): DaemonProcess {
    return new DaemonProcess(name, settingsFile)
  }

  get pid (): number | undefined {
    return this.child.pid
  }

  /** Resolves when `healthUrl` answers well; rejects when the daemon ends before or takes too long. */
  async waitUntilHealthy (healthUrl: string): Promise<void> {
    const deadline = Date.now() + startTimeoutMs
    while (Date.now() < deadline) {
      if (this.hasEnded) throw new Error(`the daemon of ${this.name} ended while it started`)
      const healthy = await fetch(healthUrl).then(answer => answer.ok, () => false)
      if (healthy) return
      await new Promise(resolve => setTimeout(resolve, healthPollMs))
    }
    throw new Error(`the daemon of ${this.name} did not start within ${startTimeoutMs} ms`)
  }

  sendSignal (signal: NodeJS.Signals): void {
    if (!this.hasEnded) this.child.kill(signal)
  }

  /** Lets the daemon finish its calls; resolves when it has ended. */
  async close (): Promise<void> {
    this.sendSignal('SIGTERM')
    await this.ended
  }
}
