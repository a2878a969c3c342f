import { Fault } from 'auburnturn'
import { request } from 'undici'

/** Prints the dump of the node whose operator address is `address`, or one part of it. */
export async function dump (address: string, part: string): Promise<void> {
  const path = part === '' ? '/dump' : `/dump/${encodeURIComponent(part)}`
  const answer = await request(`http://${address}${path}`).catch(error => {
    throw Fault.create('node-unreachable', address, error)
  })
  process.stdout.write(`${await answer.body.text()}\n`)
  if (answer.statusCode !== 200) process.exitCode = 1
}
