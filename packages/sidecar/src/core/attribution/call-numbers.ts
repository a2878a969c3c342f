import type { Random } from 'auburnturn/core/random'

/** Text of a number: the start of its process and the count, in base 36. */
const numberPattern = /^[0-9a-z]{1,8}-[0-9a-z]{1,11}$/

/** Bound of the random start of a process. */
const startBound = 0x7fff_ffff

/** Numbers the calls of this process to other nodes. The random start sets them apart from those of its earlier process. */
export class CallNumbers {
  private readonly start: string
  private count = 0

  private constructor (start: number) {
    this.start = start.toString(36)
  }

  static create ({ random }: { random: Random }): CallNumbers {
    return new CallNumbers(random.integerBelow(startBound))
  }

  next (): string {
    return `${this.start}-${(this.count++).toString(36)}`
  }
}

/** Whether a text has the format of a number of a call. */
export function isCallNumber (text: string): boolean {
  return numberPattern.test(text)
}
