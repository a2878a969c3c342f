import { fork, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { openSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { FromProcess } from './processes/messages.js'

/** How a child is started. */
export interface ChildOptions {
  /** File with its output. */
  readonly log: string
  readonly args: readonly string[]
  readonly env?: Readonly<Record<string, string>>
  /** Receives what it tells; nodes tell nothing. */
  readonly onMessage?: (message: FromProcess) => void
  /** Called when it ends without having been told to, with the reason. */
  readonly onStrayEnd: (how: string) => void
}

/** Processes that run now: none of them outlives this one. */
const running = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

/** A process of a run, which only this run starts, signals and ends. */
export class Child {
  private readonly process: ChildProcess
  private expected = false
  private readonly ended: Promise<void>

  private constructor (process: ChildProcess, { onMessage, onStrayEnd }: ChildOptions) {
    this.process = process
    running.add(process)
    this.ended = new Promise(resolve => {
      process.once('exit', (code, signal) => {
        running.delete(process)
        if (!this.expected) onStrayEnd(signal ?? `code ${code ?? 'none'}`)
        resolve()
      })
    })
    if (onMessage !== undefined) process.on('message', message => { onMessage(message as FromProcess) })
  }

  /** Starts a module of this folder's `processes`; resolves when it says that it is ready. */
  static async createPart (name: string, options: ChildOptions): Promise<Child> {
    const log = openSync(options.log, 'a')
    const file = fileURLToPath(new URL(`./processes/${name}.js`, import.meta.url))
    const child = new Child(fork(file, options.args, { stdio: ['ignore', log, log, 'ipc'] }), options)
    await new Promise<void>((resolve, reject) => {
      child.process.once('message', () => { resolve() })
      child.process.once('exit', code => { reject(new Error(`${name} ended at its start with code ${code ?? 'none'}; see ${options.log}`)) })
    })
    return child
  }

  /** Starts a program of Node.js. */
  static createProgram (options: ChildOptions): Child {
    const log = openSync(options.log, 'a')
    return new Child(spawn(process.execPath, options.args, { stdio: ['ignore', log, log], env: { PATH: process.env['PATH'], ...options.env } }), options)
  }

  send (message: unknown): void {
    if (this.process.connected) this.process.send(message as object)
  }

  signal (name: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.process.kill(name)
  }

  /** Asks it to end; false when it had to be killed after `graceMs`. */
  async terminate (graceMs: number): Promise<boolean> {
    this.expected = true
    this.process.kill('SIGTERM')
    let timer: NodeJS.Timeout | undefined
    const late = new Promise<boolean>(resolve => { timer = setTimeout(() => { resolve(true) }, graceMs) })
    const killed = await Promise.race([this.ended.then(() => false), late])
    clearTimeout(timer)
    if (killed) await this.kill()
    return !killed
  }

  async kill (): Promise<void> {
    this.expected = true
    this.process.kill('SIGKILL')
    await this.ended
  }
}
