import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Machine } from './machine.mjs'
import { findFreePorts, sleep, waitUntil } from './net.mjs'
import { Store } from './store.mjs'
import { Target } from './target.mjs'

/** Largest time until all nodes are ready, in milliseconds. */
const startTimeoutMs = 15_000

/** Largest `stable_ms` of the sites, in milliseconds: after it, the start of the processes is no disturbance any more. */
const stableMs = 4_000

/** A small deployment on loopback addresses: the store, and machines with a node and a target each. */
export class Deployment {
  constructor (caseFolder) {
    this.recordFile = join(caseFolder, 'record.txt')
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.startedAt = Date.now()
    process.once('exit', () => { rmSync(this.folder, { recursive: true, force: true }) })
    this.machines = []
    this.targets = []
    this.version = 4
    this.prefix = `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}`
    writeFileSync(this.recordFile, '')
    this.record = line => { appendFileSync(this.recordFile, `${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${line}\n`) }
  }

  /** `services` names the service of each machine; `bounds` replace those of the settings, `options` those of all targets. */
  static async create ({ caseFolder, services, routes, bounds = {}, options = {} }) {
    const deployment = new Deployment(caseFolder)
    const { record, folder } = deployment
    deployment.store = await Store.create(deployment.getIp(1))
    deployment.configure(routes)
    const [internalPort] = await findFreePorts(deployment.getIp(2), 1)
    for (const [index, service] of services.entries()) {
      const ip = deployment.getIp(index + 11)
      const zone = ['a', 'b', 'c'][index % 3]
      const target = await Target.create({ id: `i-${index + 1}`, service, zone, ip, record, ...options })
      deployment.targets.push(target)
      deployment.store.put(`servers/${target.id}`, target.entry)
      const machine = await Machine.create({ name: `node-${index + 1}`, ip, zone, service, appAddress: target.address, storeAddress: deployment.store.address, internalPorts: [internalPort, internalPort + 15], bounds, folder, record })
      deployment.machines.push(machine)
    }
    await waitUntil('all nodes are ready', async () => (await Promise.all(deployment.machines.map(machine => machine.isReady()))).every(Boolean), startTimeoutMs)
    record('all nodes are ready')
    await sleep(stableMs)
    return deployment
  }

  getIp (index) {
    return `${this.prefix}.${index}`
  }

  /** Writes the next version of the configuration, as the operator does. */
  configure (routes) {
    const services = [...new Set(routes.map(({ service }) => service))]
    this.store.put('op/config', {
      version: this.version += 3,
      resources: [
        ...routes.map(({ name, ...spec }) => ({ resource_type: 'routes', metadata: { name }, spec: { priority: 1, max_attempts: 2, ...spec } })),
        ...services.map(name => ({ resource_type: 'services', metadata: { name }, spec: { health_path: '/health', max_connections: 260, protocol: 'h1', tls: false } })),
        { resource_type: 'limits', metadata: {}, spec: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 } }
      ]
    })
  }

  async close () {
    await Promise.all(this.machines.map(machine => machine.close()))
    for (const target of this.targets) target.close()
    this.store.close()
  }
}

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (play) {
  let code = 2
  try {
    code = await play() ? 1 : 0
  } catch (error) {
    console.error(error)
  }
  process.exit(code)
}
