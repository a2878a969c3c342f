/** Upstream in a separate process: answers every request with a short body. Prints its port. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { bodyBytes, ip } from './constants.js'

const body = Buffer.alloc(bodyBytes, 'x')
const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
  request.resume()
  request.on('end', () => {
    response.writeHead(200, { 'content-type': 'text/plain', 'content-length': body.length })
    response.end(body)
  })
})
server.listen(0, ip, () => { process.stdout.write(`${(server.address() as AddressInfo).port}\n`) })
process.once('SIGTERM', () => { process.exit(0) })
