import type { Writable } from 'node:stream'
import { framePrefixBytes, maxCopiedBodyBytes } from './constants.js'
import type { Frame } from './types.js'

/** Separates the fields: no header name, header value or path can contain it. */
const separator = '\n'

/**
 * Encodes a frame: the length of fields and body together, the length of the fields, the fields, the body. Lengths are 32-bit
 * integers, big-endian. Fields are written in latin1, as Node decodes headers.
 */
export function encodeFrame (frame: Frame): Buffer {
  const { body } = frame
  const bytes = encodeStart(frame, body.length)
  body.copy(bytes, bytes.length - body.length)
  return bytes
}

/** Encodes what comes before the body of a frame, with `freeBytes` bytes of room behind it. */
function encodeStart ({ fields, body }: Frame, freeBytes = 0): Buffer {
  const text = fields.join(separator)
  const bytes = Buffer.allocUnsafe(framePrefixBytes + text.length + freeBytes)
  bytes.writeUInt32BE(text.length + body.length, 0)
  bytes.writeUInt32BE(text.length, 4)
  bytes.write(text, framePrefixBytes, 'latin1')
  return bytes
}

/** Writes a frame; a large body is not copied for that. `onWritten` is called when the bytes have been handed to the operating system. */
export function writeFrame (socket: Writable, { fields, body }: Frame, onWritten: () => void = () => {}): void {
  if (body.length <= maxCopiedBodyBytes) {
    socket.write(encodeFrame({ fields, body }), onWritten)
    return
  }
  socket.cork()
  socket.write(encodeStart({ fields, body }))
  socket.write(body, onWritten)
  socket.uncork()
}

/** Decodes the content of a frame, whose first `fieldBytes` are the fields. */
export function decodeContent (content: Buffer, fieldBytes: number): Frame {
  return { fields: content.toString('latin1', 0, fieldBytes).split(separator), body: content.subarray(fieldBytes) }
}
