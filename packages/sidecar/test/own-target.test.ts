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

test.run()
