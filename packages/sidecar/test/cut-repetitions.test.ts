import type { Socket } from 'node:net'
import { insertIdHeader, messageVariants, serializeMessage } from '@auburnturn/stand-ins'
import type { Framing, IdPosition, MessageVariant, VariantWriter, WrittenMessage } from '@auburnturn/stand-ins'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Outcome } from '../src/core/requests/index.js'
import { RawOwnTarget } from './fixtures/raw-own-target.js'

const test = suite('cut repetitions')

const idPositions: readonly IdPosition[] = ['first', 'middle', 'last']
const framings: readonly Framing[] = ['length', 'chunked', 'none']
const earlierId = 'r-earlier'

/** Requests in progress at the same time. */
const concurrency = 8

/** Time between two segments, in milliseconds. */
const segmentGapMs = 1

/** Joins the bytes of an earlier message and of the answer to the present request; returns the segments that are written. */
type Splice = (earlier: Buffer, answer: Buffer, cut: number) => readonly Buffer[]

const splices: Readonly<Record<string, Splice>> = {
  'breaks off anywhere, before the answer': (earlier, answer, cut) => [Buffer.concat([earlier.subarray(0, cut), answer])],
  'is whole, anywhere in the head of the answer': (earlier, answer, cut) => {
    const offset = cut % answer.indexOf('\r\n\r\n')
    return [Buffer.concat([answer.subarray(0, offset), earlier]), answer.subarray(offset)]
  }
}

function createRefusal (status: number, idPosition: IdPosition): WrittenMessage {
  return { kind: 'refusal', status, headers: insertIdHeader([['X-Not-Executed', '1'], ['X-Instance-Id', 'i-1'], ['Keep-Alive', 'timeout=5']], earlierId, idPosition), body: 'full', framing: 'length' }
}

function createAnswer (id: string, status: number, idPosition: IdPosition, framing: Framing): WrittenMessage {
  return { kind: 'answer', status, headers: insertIdHeader([['X-Response-Seal', `seal-of-${id}`], ['X-Instance-Id', 'i-1'], ['Keep-Alive', 'timeout=5']], id, idPosition), body: `body of ${id}`, framing }
}

/** What is wrong with an outcome of a request that has run; undefined if nothing is. */
function findFault (outcome: Outcome, written: WrittenMessage): string | undefined {
  if (outcome.kind === 'may-have-run') return undefined
  if (outcome.kind === 'not-run') return 'REFUSED'
  const { status, headers, body } = outcome
  const expected = ['X-Response-Seal', 'X-Attempt-Id', 'X-Instance-Id'].map(name => written.headers.find(header => header[0] === name)?.[1])
  const found = ['x-response-seal', 'x-attempt-id', 'x-instance-id'].map(name => headers.filter((_value, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name).join())
  const same = status === written.status && body.toString() === written.body && found.join() === expected.join()
  return same ? undefined : 'MIXED'
}

/** One earlier message, one answer, and how their bytes are joined. */
interface SpliceCase {
  readonly name: string
  readonly id: string
  readonly answer: WrittenMessage
  readonly segments: readonly Buffer[]
}

/** Creates a case for each offset of the head and body of the earlier message, and for each layout of both. */
function createCases (splice: Splice, earlierMessages: readonly WrittenMessage[], answerStatuses: readonly number[]): SpliceCase[] {
  const cases: SpliceCase[] = []
  for (const earlierMessage of earlierMessages) {
    const earlier = serializeMessage(earlierMessage)
    for (const status of answerStatuses) {
      for (const framing of framings) {
        for (let cut = 0; cut < earlier.length; cut++) {
          const id = `r-${cases.length}`
          const answer = createAnswer(id, status, cut % 2 === 0 ? 'first' : 'last', framing)
          cases.push({ name: `${earlierMessage.status} at ${cut} and ${status} ${framing}`, id, answer, segments: splice(earlier, serializeMessage(answer), cut) })
        }
      }
    }
  }
  return cases
}

/** Writes segments one by one, so that the node reads them apart, and closes the connection. */
function writeSegments (socket: Socket, segments: readonly Buffer[]): void {
  const [first, ...rest] = segments
  if (first === undefined) return
  if (rest.length === 0) {
    socket.end(first)
    return
  }
  socket.write(first)
  setTimeout(() => { writeSegments(socket, rest) }, segmentGapMs)
}

/** Sends one request for each case and returns what went wrong. */
async function findFaults (cases: readonly SpliceCase[]): Promise<string[]> {
  const target = await RawOwnTarget.create()
  const faults: string[] = []
  const pending = [...cases]
  const segmentsById = new Map(pending.map(({ id, segments }) => [id, segments]))
  const ranIds = new Set<string>()
  target.answer = (socket, id) => {
    ranIds.add(id)
    writeSegments(socket, segmentsById.get(id) ?? [])
  }
  const sendAll = async (): Promise<void> => {
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      const fault = findFault(await target.send(next.id), next.answer)
      if (fault !== undefined) faults.push(`${fault}: ${next.name}: ${JSON.stringify(next.segments.map(String))}`)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, sendAll))
  target.close()
  assert.is(ranIds.size, cases.length, 'each request ran')
  return faults
}

const refusals = [503, 421].flatMap(status => idPositions.map(position => createRefusal(status, position)))
const earlierAnswers = idPositions.map(position => createAnswer(earlierId, 200, position, 'length'))

for (const [description, splice] of Object.entries(splices)) {
  // Guards against 'not run' for a request that ran, whose answer and an earlier refusal were read as one (REFUSED, TWICE; issue 29).
  test(`a refusal that ${description}, refuses no request that ran`, async () => {
    const cases = createCases(splice, refusals, [200])
    const faults = await findFaults(cases)
    assert.is(faults.length, 0, `${faults.length} of ${cases.length}; the first: ${faults.at(-1) ?? ''}`)
  })

  // Guards against a spliced answer, made of an earlier one and of that to the present request (MIXED; issue 29).
  test(`an earlier answer that ${description}, becomes no part of another answer`, async () => {
    const cases = createCases(splice, earlierAnswers, [200, 500])
    const faults = await findFaults(cases)
    assert.is(faults.length, 0, `${faults.length} of ${cases.length}; the first: ${faults.at(-1) ?? ''}`)
  })
}

/** Offsets between two cuts of a variant, in bytes: shorter than every header value that matters. */
const variantCutStep = 5

/** Longest time until the outcome of an exchange whose bytes have all arrived, in milliseconds; far below the deadline of 2 s. */
const maxOutcomeMs = 1_000

/** Creates a case for some cuts of both messages in a variant, with the answer after them; ids begin with the variant. */
function createVariantCases (variant: MessageVariant, write: VariantWriter): SpliceCase[] {
  const cases: SpliceCase[] = []
  for (const message of [createRefusal(503, 'last'), createAnswer(earlierId, 200, 'last', 'length')]) {
    const { length } = write(message, earlierId)
    for (let cut = 1; cut <= length; cut += variantCutStep) {
      const id = `${variant}-${cases.length}`
      const answer = createAnswer(id, 200, 'first', 'length')
      cases.push({ name: `${message.kind} at ${cut}`, id, answer, segments: [Buffer.concat([write(message, id).subarray(0, cut), serializeMessage(answer)])] })
    }
  }
  return cases
}

// Guards against an earlier message that, changed in some way and broken off, is believed (REFUSED, TWICE, MIXED; issue 29).
test('a refusal or an answer in any variant, broken off before the answer, is believed by nobody', async () => {
  const cases = Object.entries(messageVariants).flatMap(([variant, write]) => createVariantCases(variant as MessageVariant, write))
  const faults = await findFaults(cases)
  assert.is(faults.length, 0, `${faults.length} of ${cases.length}; the first: ${faults.at(-1) ?? ''}`)
})

// Guards against a 101 that is passed on as an answer, or after which nothing ends the exchange (LOST; issue 29).
test('a 101 that nobody asked for ends the exchange at once, with and without the headers of an upgrade', async () => {
  for (const upgrade of ['', 'Connection: upgrade\r\nUpgrade: other\r\n']) {
    const target = await RawOwnTarget.create()
    const startedAt = performance.now()
    target.answer = (socket, id) => { socket.write(`HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: s\r\n${upgrade}\r\n`) }
    const outcome = await target.send('r-1')
    target.close()
    assert.is(outcome.kind, 'may-have-run', upgrade)
    assert.ok(performance.now() - startedAt < maxOutcomeMs, `took ${Math.round(performance.now() - startedAt)} ms ${upgrade}`)
  }
})

test.run()
