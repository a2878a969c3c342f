import { fork, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { openSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { HelperMessage } from './processes/messages.js'

/** How a child is started. */
export interface ManagedProcessOptions {
  /** File with its output. */
  readonly log: string
  readonly args: readonly string[]
  readonly env?: Readonly<Record<string, string>>
  /** Receives what it tells; nodes tell nothing. */
  readonly onMessage?: (message: HelperMessage) => void
  /** Called when it ends without having been told to, with the reason. */
  readonly onUnexpectedExit: (reason: string) => void
}

/** Processes that run now: none of them outlives this one. */
const runningProcesses = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL')
})

/** A process of a run, which only this run starts, signals and ends. */
export class ManagedProcess {
  private readonly childProcess: ChildProcess
  private exitExpected = false
  private readonly exited: Promise<void>

  private constructor (childProcess: ChildProcess, { onMessage, onUnexpectedExit }: ManagedProcessOptions) {
    this.childProcess = childProcess
    runningProcesses.add(childProcess)
    this.exited = new Promise(resolve => {
      childProcess.once('exit', (code, signal) => {
        runningProcesses.delete(childProcess)
        if (!this.exitExpected) onUnexpectedExit(signal ?? `code ${code ?? 'none'}`)
        resolve()
      })
    })
    if (onMessage !== undefined) childProcess.on('message', message => { onMessage(message as HelperMessage) })
  }

  /** Starts a module of this folder's `processes`; resolves when it says that it is ready. */
  static async startHelper (name: string, options: ManagedProcessOptions): Promise<ManagedProcess> {
    const log = openSync(options.log, 'a')
    const file = fileURLToPath(new URL(`./processes/${name}.js`, import.meta.url))
    const managedProcess = new ManagedProcess(fork(file, options.args, { stdio: ['ignore', log, log, 'ipc'] }), options)
    await new Promise<void>((resolve, reject) => {
      managedProcess.childProcess.once('message', () => { resolve() })
      managedProcess.childProcess.once('exit', code => { reject(new Error(`${name} ended at its start with code ${code ?? 'none'}; see ${options.log}`)) })
    })
    return managedProcess
  }

  /** Starts a program of Node.js. */
  static startProgram (options: ManagedProcessOptions): ManagedProcess {
    const log = openSync(options.log, 'a')
    return new ManagedProcess(spawn(process.execPath, options.args, { stdio: ['ignore', log, log], env: { PATH: process.env['PATH'], ...options.env } }), options)
  }

  send (message: unknown): void {
    if (this.childProcess.connected) this.childProcess.send(message as object)
  }

  signal (name: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.childProcess.kill(name)
  }

  /** Asks it to end; false when it had to be killed after `graceMs`. */
  async terminate (graceMs: number): Promise<boolean> {
    this.exitExpected = true
    this.childProcess.kill('SIGTERM')
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<boolean>(resolve => { timer = setTimeout(() => { resolve(true) }, graceMs) })
    const killed = await Promise.race([this.exited.then(() => false), timeout])
    clearTimeout(timer)
    if (killed) await this.kill()
    return !killed
  }

  async kill (): Promise<void> {
    this.exitExpected = true
    this.childProcess.kill('SIGKILL')
    await this.exited
  }
}
