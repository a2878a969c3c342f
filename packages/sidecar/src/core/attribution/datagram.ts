import type { Random } from 'auburnturn/core/random'

/** Size of a stamp, in bytes: the number of the process and the number of the message, 16 bits each. */
export const stampBytes = 4

/** How long a datagram may be under way, in milliseconds; an older number of the same process is believed after this. */
const maxTransitMs = 5_000

const numberCount = 0x1_0000

/** Which process sent a datagram, and as which of its messages. Numbers wrap around. */
export interface DatagramStamp {
  readonly process: number
  readonly message: number
}

/** Numbers the messages of this process. All copies of a message have one number, so that the numbers last. */
export class DatagramStamps {
  private readonly process: number
  private message = 0
  private lastBytes: Buffer | undefined

  private constructor (process: number) {
    this.process = process
  }

  /** The number of the process is random, since a node keeps nothing from its earlier process. */
  static create ({ random }: { random: Random }): DatagramStamps {
    return new DatagramStamps(random.integerBelow(numberCount))
  }

  /** Returns the stamp of a message; the next copy of the same buffer has the same one. */
  stamp (bytes: Buffer): Buffer {
    if (bytes !== this.lastBytes) this.message = (this.message + 1) % numberCount
    this.lastBytes = bytes
    const stamp = Buffer.alloc(stampBytes)
    stamp.writeUInt16LE(this.process, 0)
    stamp.writeUInt16LE(this.message, 2)
    return stamp
  }
}

/** Reads the stamp of a datagram; undefined if it is too short. */
export function readStamp (bytes: Buffer): DatagramStamp | undefined {
  return bytes.length < stampBytes ? undefined : { process: bytes.readUInt16LE(0), message: bytes.readUInt16LE(2) }
}

/** The newest stamp from one address. Times are clock milliseconds. */
interface NewestStamp extends DatagramStamp {
  readonly receivedAt: number
  /** The processes that used the address before, since it was last silent. */
  readonly replaced: ReadonlySet<number>
}

/**
 * Decides whether a datagram tells the present state of the node at its address: not if it is a repeated one, one that a later
 * one has overtaken, or one of a process that another one has replaced at that address.
 */
export class DatagramOrder {
  private readonly newest = new Map<string, NewestStamp>()
  private prunedAt = -Infinity

  private constructor () {}

  static create (): DatagramOrder {
    return new DatagramOrder()
  }

  /** Whether a datagram is the newest of its sender; `sender` is its address, with the kind of the datagram if kinds are independent. */
  accept (sender: string, stamp: DatagramStamp, now: number): boolean {
    if (now - this.prunedAt > maxTransitMs) this.prune(now)
    const last = this.newest.get(sender)
    if (last !== undefined && isOutdated(stamp, last, now)) return false
    this.newest.set(sender, { ...stamp, receivedAt: now, replaced: findReplaced(stamp, last, now) })
    return true
  }

  /** Forgets the senders whose datagrams can no longer be under way. */
  private prune (now: number): void {
    this.prunedAt = now
    for (const [sender, { receivedAt }] of this.newest) if (now - receivedAt > maxTransitMs) this.newest.delete(sender)
  }
}

function isOutdated ({ process, message }: DatagramStamp, last: NewestStamp, now: number): boolean {
  if (now - last.receivedAt > maxTransitMs) return false
  if (process !== last.process) return last.replaced.has(process)
  const advance = (message - last.message + numberCount) % numberCount
  return advance === 0 || advance >= numberCount / 2
}

function findReplaced ({ process }: DatagramStamp, last: NewestStamp | undefined, now: number): ReadonlySet<number> {
  if (last === undefined || now - last.receivedAt > maxTransitMs) return new Set()
  return process === last.process ? last.replaced : new Set([...last.replaced, last.process])
}
