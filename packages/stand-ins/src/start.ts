/** Brings up both deployments on this machine: stand-ins in this process, one daemon process per target. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { readShippedProfiles } from 'auburnturn'
import type { Member } from 'auburnturn'
import { deployments } from './deployments.js'
import { PlatformService } from './platform-service.js'
import { UpstreamService } from './upstream-service.js'

const ip = '127.0.0.1'
const firstPort = Number(process.env.AUBURNTURN_FIRST_PORT ?? 18_000)
const portsPerTarget = 4
const daemon = join(dirname(createRequire(import.meta.url).resolve('auburnturnd/package.json')), 'bin', 'auburnturnd.js')

interface Place { readonly member: Member, readonly callersPort: number, readonly operatorPort: number }

const folder = mkdtempSync(join(tmpdir(), 'auburnturn-'))
const platform = await PlatformService.create()
const places = deployments.flatMap(placeTargets).map(assignPorts)
publishConfiguration()
const upstreams = await Promise.all(places.map(async ({ member }) => await UpstreamService.create(member.id)))
platform.setMembers(places.map(({ member }) => member))
const daemons = places.map(startDaemon)
process.once('SIGINT', () => { stop().catch(reportAndExit) })
process.once('SIGTERM', () => { stop().catch(reportAndExit) })
await Promise.all(places.map(async ({ operatorPort }) => { await waitForHealth(operatorPort) }))
announce()

type Draft = Omit<Member, 'ip' | 'peerPort' | 'controlPort'>

function placeTargets ({ region, failureDomains, services }: typeof deployments[number]): Draft[] {
  return services.flatMap(({ name, targets }) => Array.from({ length: targets }, (_, index): Draft => ({
    id: `${name}-${index + 1}`,
    service: name,
    region,
    failureDomain: failureDomains[index % failureDomains.length] as string,
    state: 'live'
  })))
}

function assignPorts (draft: Draft, index: number): Place {
  const base = firstPort + index * portsPerTarget
  const member = { ...draft, ip, peerPort: base + 1, controlPort: base + 2 }
  return { member, callersPort: base, operatorPort: base + 3 }
}

function publishConfiguration (): void {
  for (const [name, text] of readShippedProfiles()) platform.publish(`profile/${name}`, text)
  for (const { name, profile } of deployments.flatMap(deployment => deployment.services)) {
    platform.publish(`service/${name}`, JSON.stringify({ profile }))
  }
}

function startDaemon ({ member, callersPort, operatorPort }: Place, index: number): ChildProcess {
  const settings = {
    id: member.id,
    service: member.service,
    region: member.region,
    failureDomain: member.failureDomain,
    callers: { ip, port: callersPort },
    peers: { ip, port: member.peerPort },
    control: { ip, port: member.controlPort },
    operator: { ip, port: operatorPort },
    upstream: { ip, port: (upstreams[index] as UpstreamService).port },
    platform: [{ ip, port: platform.port }],
    log: { level: 'warn' }
  }
  const file = join(folder, `${member.id}.jsonc`)
  writeFileSync(file, JSON.stringify(settings, null, 2))
  // Its own process group, so that Ctrl-C in a terminal reaches only this process, which then ends the daemons.
  return spawn(process.execPath, [daemon, '--settings', file], { stdio: ['ignore', 'inherit', 'inherit'], detached: true })
}

async function waitForHealth (port: number): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt++) {
    const healthy = await fetch(`http://${ip}:${port}/health`).then(answer => answer.ok, () => false)
    if (healthy) return
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  throw new Error(`the node at operator port ${port} did not start`)
}

function announce (): void {
  const [first] = places as [Place, ...Place[]]
  process.stdout.write([
    `${places.length} nodes are up, from ${ip}:${first.callersPort} on. Try:`,
    `  curl -i http://${ip}:${first.callersPort}/~orders/hello`,
    `  npx auburnturn dump ${ip}:${first.operatorPort}`,
    'Ctrl-C ends everything.', ''
  ].join('\n'))
}

async function stop (): Promise<void> {
  await Promise.all(daemons.map(endDaemon))
  await Promise.all(upstreams.map(async upstream => { await upstream.close() }))
  await platform.close()
  rmSync(folder, { recursive: true })
}

async function endDaemon (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  const ended = new Promise(resolve => child.once('exit', resolve))
  child.kill('SIGTERM')
  await ended
}

function reportAndExit (error: unknown): void {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
}
