import { idHeaderName, serializeMessage } from './written-message.js'
import type { Header, WrittenMessage } from './written-message.js'

/** How an earlier message is changed when it is written once more. */
export type MessageVariant =
  | 'unchanged'
  | 'without-id' | 'empty-id' | 'upper-case-id' | 'spaced-id' | 'folded-id' | 'earlier-then-present-id' | 'present-then-earlier-id'
  | 'status-503' | 'status-429' | 'status-421' | 'status-408' | 'status-400' | 'status-413' | 'status-500' | 'status-200'
  | 'interim-100' | 'interim-103' | 'interim-103-present-id' | 'switching-101'
  | 'chunked' | 'chunked-mark-in-trailer' | 'chunked-id-in-trailer' | 'unframed' | 'closing'

/** Serializes a changed message; `presentId` is the id of the request that is answered on the connection now. */
export type VariantWriter = (message: WrittenMessage, presentId: string) => Buffer

const markHeader: Header = ['X-Not-Executed', '1']

/** One function for each variant. */
export const messageVariants: Readonly<Record<MessageVariant, VariantWriter>> = {
  unchanged: message => serializeMessage(message),
  'without-id': message => withIds(message, []),
  'empty-id': message => withIds(message, ['']),
  'upper-case-id': message => withIds(message, [findId(message).toUpperCase()]),
  'spaced-id': message => withIds(message, [`  ${findId(message)}\t `]),
  'folded-id': message => withIds(message, [`\r\n ${findId(message)}`]),
  'earlier-then-present-id': (message, presentId) => withIds(message, [findId(message), presentId]),
  'present-then-earlier-id': (message, presentId) => withIds(message, [presentId, findId(message)]),
  'status-503': message => withStatus(message, 503),
  'status-429': message => withStatus(message, 429),
  'status-421': message => withStatus(message, 421),
  'status-408': message => withStatus(message, 408),
  'status-400': message => withStatus(message, 400),
  'status-413': message => withStatus(message, 413),
  'status-500': message => withStatus(message, 500),
  'status-200': message => withStatus(message, 200),
  'interim-100': message => withStatus({ ...message, body: '', framing: 'length' }, 100),
  'interim-103': message => withStatus({ ...message, body: '', framing: 'length' }, 103),
  'interim-103-present-id': (message, presentId) => withIds({ ...message, status: 103, body: '', framing: 'length' }, [presentId]),
  'switching-101': message => serializeMessage({ ...message, status: 101, headers: [...message.headers, ['Connection', 'upgrade'], ['Upgrade', 'other']], body: '', framing: 'length' }),
  chunked: message => serializeMessage({ ...message, framing: 'chunked' }),
  'chunked-mark-in-trailer': message => serializeMessage({ ...message, framing: 'chunked', headers: message.headers.filter(header => header[0] !== markHeader[0]), trailers: [markHeader] }),
  'chunked-id-in-trailer': message => serializeMessage({ ...message, framing: 'chunked', headers: message.headers.filter(([name]) => name !== idHeaderName), trailers: [[idHeaderName, findId(message)], markHeader] }),
  unframed: message => serializeMessage({ ...message, framing: 'none' }),
  closing: message => serializeMessage({ ...message, headers: [...message.headers, ['Connection', 'close']] })
}

function findId ({ headers }: WrittenMessage): string {
  return headers.find(([name]) => name === idHeaderName)?.[1] ?? ''
}

/** Replaces the header with the id by one for each of `ids`, at the same position. */
function withIds (message: WrittenMessage, ids: readonly string[]): Buffer {
  const headers = message.headers.flatMap((header): Header[] => header[0] === idHeaderName ? ids.map(id => [idHeaderName, id]) : [header])
  return serializeMessage({ ...message, headers })
}

function withStatus (message: WrittenMessage, status: number): Buffer {
  return serializeMessage({ ...message, status })
}
