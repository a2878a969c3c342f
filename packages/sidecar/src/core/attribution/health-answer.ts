import type { Random } from 'auburnturn/core/random'

/** Bound of the random half of an id, and of the count in the other half. */
const halfBound = 0x7fff_ffff

/** Hexadecimal digits of each half of an id. */
const halfDigits = 8

/** Gives each health check an id of its own, 16 hexadecimal digits, in place of the id of a caller's attempt. */
export class CheckIds {
  private readonly start: number
  private count = 0

  private constructor (start: number) {
    this.start = start
  }

  static create ({ random }: { random: Random }): CheckIds {
    return new CheckIds(random.integerBelow(halfBound))
  }

  next (): string {
    this.count = (this.count + 1) % halfBound
    return formatHalf(this.start) + formatHalf(this.count)
  }
}

function formatHalf (half: number): string {
  return half.toString(16).padStart(halfDigits, '0')
}

/** What the head of an answer shows of the request that it belongs to. */
export interface AnswerMarks {
  /** Id of the request or check; empty when missing. */
  readonly id: string
  /** Whether the target certifies that it ran a request. */
  readonly sealed: boolean
  /** Id of the target; empty when missing. */
  readonly targetId: string
}

/**
 * Whether an answer belongs to the health check with this id. A target need not repeat ids on the path of the checks: without an id,
 * a successful answer has to name the target, and none may bear the seal of a request. A target that refuses a check as it refuses
 * any request need not name itself.
 */
export function isHealthAnswer (checkId: string, status: number, { id, sealed, targetId }: AnswerMarks): boolean {
  if (id !== '') return id === checkId
  return !sealed && (targetId !== '' || status >= 300)
}
