import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const test = suite('reset connection')

/** Time within which a process ends after it has closed all it opened, in milliseconds. */
const endTimeoutMs = 10_000

/** Program of a process that resets a connection whose end is under way, and closes all else. */
const program = `
import { connect, createServer } from 'node:net'
import { resetConnection } from ${JSON.stringify(new URL('../src/index.js', import.meta.url).href)}
const server = createServer(socket => {
  socket.on('error', () => {})
  socket.write('x')
  socket.end()
  process.nextTick(() => {
    resetConnection(socket)
    client.destroy()
    server.close()
  })
})
let client
server.listen(0, '127.0.0.1', () => {
  client = connect(server.address().port, '127.0.0.1')
  client.on('error', () => {})
})
`

// Guards against a test process that never ends, since Node keeps a connection open that was reset while it ended (issue 17).
test('a process that resets a connection while it ends can end itself', async () => {
  const run = promisify(execFile)(process.execPath, ['--input-type=module', '--eval', program], { timeout: endTimeoutMs })
  const error = await run.then(() => undefined, (thrown: Error) => thrown.message)
  assert.is(error, undefined)
})

test.run()
