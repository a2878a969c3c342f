/** When the bytes of an earlier message are written once more, and how much of it. `half` ends anywhere inside the message. */
export type RepetitionPlacement =
  | 'at-read' | 'during-run' | 'before-answer' | 'after-answer' | 'after-answer-apart' | 'after-close' | 'while-idle'
  | 'half-while-idle' | 'half-while-idle-rest-at-read' | 'half-while-idle-rest-during-run'
  | 'half-at-read' | 'half-during-run' | 'half-before-answer' | 'half-after-answer'
  | 'inside-answer' | 'whole-in-bytes' | 'half-in-bytes'

/** What a target writes around its answer to one request. */
export interface RepetitionWrites {
  /** Written while the connection is idle, before the request arrives. */
  readonly whileIdle?: Buffer
  /** Written when the request has been read, before its run. */
  readonly atRead?: Buffer
  /** Written in the middle of the run. */
  readonly duringRun?: Buffer
  /** Returns the segments that are written in place of the answer. */
  readonly answer?: (answer: Buffer) => readonly Buffer[]
}

/** Distributes the bytes of a message; `cut` is the offset at which forms with `half` divide it. */
export type PlacementWriter = (message: Buffer, cut: number) => RepetitionWrites

/** One function for each placement. */
export const repetitionPlacements: Readonly<Record<RepetitionPlacement, PlacementWriter>> = {
  'at-read': message => ({ atRead: message }),
  'during-run': message => ({ duringRun: message }),
  'before-answer': message => ({ answer: answer => [Buffer.concat([message, answer])] }),
  'after-answer': message => ({ answer: answer => [Buffer.concat([answer, message])] }),
  'after-answer-apart': message => ({ answer: answer => [answer, message] }),
  'after-close': message => ({ answer: answer => [announceClose(answer), message] }),
  'while-idle': message => ({ whileIdle: message }),
  'half-while-idle': (message, cut) => ({ whileIdle: message.subarray(0, cut) }),
  'half-while-idle-rest-at-read': (message, cut) => ({ whileIdle: message.subarray(0, cut), atRead: message.subarray(cut) }),
  'half-while-idle-rest-during-run': (message, cut) => ({ whileIdle: message.subarray(0, cut), duringRun: message.subarray(cut) }),
  'half-at-read': (message, cut) => ({ atRead: message.subarray(0, cut) }),
  'half-during-run': (message, cut) => ({ duringRun: message.subarray(0, cut) }),
  'half-before-answer': (message, cut) => ({ answer: answer => [Buffer.concat([message.subarray(0, cut), answer])] }),
  'half-after-answer': (message, cut) => ({ answer: answer => [answer, message.subarray(0, cut)] }),
  'inside-answer': (message, cut) => ({ answer: answer => insert(answer, message, cut) }),
  'whole-in-bytes': message => ({ answer: answer => splitIntoBytes(Buffer.concat([message, answer])) }),
  'half-in-bytes': (message, cut) => ({ answer: answer => splitIntoBytes(Buffer.concat([message.subarray(0, cut), answer])) })
}

/** Inserts a message into the head of an answer; what is left of the answer follows apart. */
function insert (answer: Buffer, message: Buffer, cut: number): Buffer[] {
  const offset = cut % answer.indexOf('\r\n\r\n')
  return [Buffer.concat([answer.subarray(0, offset), message]), answer.subarray(offset)]
}

function announceClose (answer: Buffer): Buffer {
  const firstLineEnd = answer.indexOf('\r\n')
  return Buffer.concat([answer.subarray(0, firstLineEnd), Buffer.from('\r\nConnection: close'), answer.subarray(firstLineEnd)])
}

function splitIntoBytes (bytes: Buffer): Buffer[] {
  return Array.from(bytes, (_, index) => bytes.subarray(index, index + 1))
}
