import type { Socket } from 'node:net'
import type { Header } from './repeating-target/index.js'

/** The part of an answer that has no end. */
export type EndlessPart = 'chunks' | 'chunk-extensions' | 'trailers' | 'header-lines' | 'interim-answers' | 'body'

/** An answer without an end: bytes that are written once, and bytes that are then written again and again. */
export interface EndlessMessage {
  readonly kind: 'endless'
  readonly start: string
  readonly piece: string
}

/** Pieces that are written at once. */
const piecesPerWrite = 1_000

/** Creates an answer with status 200 and these headers whose part has no end and comes in pieces with `pieceBytes` bytes of content. */
export function createEndlessMessage (part: EndlessPart, headers: readonly Header[], pieceBytes: number): EndlessMessage {
  const content = 'x'.repeat(pieceBytes)
  const chunk = `${pieceBytes.toString(16)}\r\n${content}\r\n`
  const head = ['HTTP/1.1 200 OK', ...headers.map(([name, value]) => `${name}: ${value}`), ''].join('\r\n')
  const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`
  switch (part) {
    case 'chunks': return { kind: 'endless', start: chunkedHead, piece: chunk }
    case 'chunk-extensions': return { kind: 'endless', start: chunkedHead, piece: chunk.replace('\r\n', `;${content}\r\n`) }
    case 'trailers': return { kind: 'endless', start: `${chunkedHead}${chunk}0\r\n`, piece: `t: ${content}\r\n` }
    case 'header-lines': return { kind: 'endless', start: head, piece: `h: ${content}\r\n` }
    case 'interim-answers': return { kind: 'endless', start: '', piece: `HTTP/1.1 103 Early Hints\r\nh: ${content}\r\n\r\n` }
    case 'body': return { kind: 'endless', start: `${head}Content-Length: 999999999\r\n\r\n`, piece: content }
  }
}

/** Writes an answer without an end until the connection is closed. */
export function writeEndless (socket: Socket, { start, piece }: EndlessMessage): void {
  socket.write(start)
  writeForever(socket, piece.repeat(piecesPerWrite))
}

/** Writes the same bytes again and again until the connection is closed. */
export function writeForever (socket: Socket, bytes: string | Buffer): void {
  const write = (): void => {
    if (!socket.writable) return
    if (socket.write(bytes)) setImmediate(write)
    else socket.once('drain', write)
  }
  write()
}
