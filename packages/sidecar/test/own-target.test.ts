import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RawOwnTarget } from './fixtures/raw-own-target.js'

const test = suite('own target')

/** More requests than a target has slots. */
const requestCount = 30

// Guards against slots that stay taken when a request can't be sent, until nothing is served (issue 29).
test('requests that cannot be sent take no slots for good', async () => {
  const target = await RawOwnTarget.create()
  target.answer = (socket, id) => { socket.end(`HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-seal: s\r\ncontent-length: 0\r\n\r\n`) }
  for (let count = 0; count < requestCount; count++) {
    const error = await target.send('r-odd', { headers: ['host', 'line\nfeed'] }).then(() => undefined, (thrown: unknown) => thrown)
    assert.instance(error, Error)
  }
  const outcome = await target.send('r-1')
  target.close()
  assert.is(outcome.kind, 'answer')
})

// Guards against 'not run' for a request whose answer ends with lines of an earlier refusal (REFUSED; issue 29).
for (const status of ['200 OK', '404 Not Found', '500 Internal Server Error']) {
  test(`an answer ${status} with the mark of a refusal may have run`, async () => {
    const target = await RawOwnTarget.create()
    target.answer = (socket, id) => { socket.end(`HTTP/1.1 ${status}\r\nx-attempt-id: ${id}\r\nx-response-seal: s\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`) }
    const outcome = await target.send('r-1')
    target.close()
    assert.equal(outcome, { kind: 'may-have-run', cause: 'unproven' })
  })
}

test.run()
