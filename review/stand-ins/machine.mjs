import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findFreePorts, sleep } from './net.mjs'

const root = fileURLToPath(new URL('../..', import.meta.url))

/** Interval of the platform's readiness check, in milliseconds, and the misses after which callers use other machines. */
const readyIntervalMs = 1_000
const missesUntilOut = 2

/** Pause before the platform starts a process again that has ended, in milliseconds. */
const restartDelayMs = 500

/** Processes of nodes that run. */
const children = new Set()

// Ends all processes that were started, however the script ends.
process.once('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { process.exit(2) })

/** Returns the program and its arguments from the deploy file. */
function readCommand () {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  const [program, ...options] = run.split(' ')
  return { program: program === 'node' ? process.execPath : program, options }
}

/** Fills in the template of the settings: `{{path|json}}` stands for a value. */
function fillTemplate (fields) {
  const template = readFileSync(join(root, 'deploy/settings.jsonc'), 'utf8')
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) => JSON.stringify(path.split('.').reduce((value, key) => value[key], fields)))
}

/** One machine of the platform: the node's process, its settings, and the readiness check. */
export class Machine {
  constructor (options) {
    Object.assign(this, options)
    this.output = ''
    this.ends = []
    this.misses = 0
    this.restarts = true
  }

  static async create (options) {
    const machine = new Machine(options)
    const [outbound, inbound, ready, first] = await findFreePorts(machine.ip, 4)
    machine.ports = { outbound, inbound, ready }
    machine.fields = {
      node_name: machine.name,
      ip: machine.ip,
      zone: machine.zone,
      service: machine.service,
      app_addr: machine.appAddress,
      listen: { outbound: `${machine.ip}:${outbound}`, inbound: `${machine.ip}:${inbound}`, ready: `${machine.ip}:${ready}` },
      internal_ports: machine.internalPorts ?? [first, first],
      platform: { address: machine.storeAddress },
      limits: { memory_mb: 350 },
      bounds: { grace_s: 6, retry_budget_ratio: 0.2, budget_min_retries: 64, probes_per_s: 60, ...machine.bounds }
    }
    machine.file = join(machine.folder, `${machine.name}.jsonc`)
    machine.writeSettings()
    machine.start()
    machine.timer = setInterval(() => { machine.checkReady() }, readyIntervalMs)
    return machine
  }

  /** Whether callers use this machine. */
  get isIn () {
    return this.misses < missesUntilOut
  }

  writeSettings () {
    writeFileSync(this.file, fillTemplate(this.fields))
  }

  start () {
    const { program, options } = readCommand()
    const child = spawn(program, options, { cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, AUBURNTURN_SETTINGS: this.file } })
    this.child = child
    children.add(child)
    this.record(`${this.name}: process ${child.pid} starts`)
    child.stdout.on('data', chunk => { this.output += chunk })
    child.stderr.on('data', chunk => { this.output += chunk })
    child.once('exit', (code, signal) => {
      children.delete(child)
      this.ends.push({ code, signal, at: Date.now() })
      this.record(`${this.name}: process ${child.pid} ends, ${signal ?? `code ${code}`}`)
      if (this.restarts) setTimeout(() => { if (this.restarts) this.start() }, restartDelayMs)
    })
  }

  /** Sends a signal to the process of the node. */
  signal (name) {
    this.record(`${this.name}: ${name} to process ${this.child.pid}`)
    this.child.kill(name)
  }

  async isReady () {
    return await new Promise(resolve => {
      const check = request({ host: this.ip, port: this.ports.ready, path: '/api/ready', agent: false, timeout: readyIntervalMs }, answer => {
        answer.resume()
        resolve(answer.statusCode === 200)
      })
      check.once('timeout', () => { check.destroy() })
      check.once('error', () => { resolve(false) })
      check.end()
    })
  }

  async checkReady () {
    const ready = await this.isReady()
    this.misses = ready ? 0 : this.misses + 1
    if (this.misses === missesUntilOut) this.record(`${this.name}: callers send it nothing more`)
  }

  /** Ends the process and waits for its end. */
  async close () {
    this.restarts = false
    clearInterval(this.timer)
    const { child } = this
    if (child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise(resolve => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await Promise.race([ended, sleep(2_000)])
  }
}
