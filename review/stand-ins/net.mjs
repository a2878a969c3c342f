import { createServer } from 'node:net'

/** Makes a server listen at an address, on a free port unless one is given. Resolves with the port. */
export async function listen (server, ip, port = 0) {
  await new Promise((resolve, reject) => { server.once('error', reject).listen(port, ip, resolve) })
  return server.address().port
}

/** Returns ports that are free at an address. */
export async function findFreePorts (ip, count) {
  const servers = Array.from({ length: count }, () => createServer())
  const ports = []
  for (const server of servers) ports.push(await listen(server, ip))
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

export async function sleep (milliseconds) {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Resolves when the condition holds; rejects with `name` after `timeoutMs`. */
export async function waitUntil (name, condition, timeoutMs) {
  const endsAt = Date.now() + timeoutMs
  while (!await condition()) {
    if (Date.now() > endsAt) throw new Error(`not in time: ${name}`)
    await sleep(20)
  }
}
