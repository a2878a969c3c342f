import { framePrefixBytes } from './constants.js'
import type { Frame } from './types.js'

/** Separates the fields: no header name, header value or path can contain it. */
const separator = '\n'

/**
 * Encodes a frame: the length of fields and body together, the length of the fields, the fields, the body. Lengths are 32-bit
 * integers, big-endian. Fields are written in latin1, as Node decodes headers.
 */
export function encodeFrame ({ fields, body }: Frame): Buffer {
  const text = fields.join(separator)
  const bytes = Buffer.allocUnsafe(framePrefixBytes + text.length + body.length)
  bytes.writeUInt32BE(text.length + body.length, 0)
  bytes.writeUInt32BE(text.length, 4)
  bytes.write(text, framePrefixBytes, 'latin1')
  body.copy(bytes, framePrefixBytes + text.length)
  return bytes
}

/** Decodes the content of a frame, whose first `fieldBytes` are the fields. */
export function decodeContent (content: Buffer, fieldBytes: number): Frame {
  return { fields: content.toString('latin1', 0, fieldBytes).split(separator), body: content.subarray(fieldBytes) }
}
