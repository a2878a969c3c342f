/** The subset of `AbortSignal` that cancellation needs; an `AbortSignal` implements it. */
export interface CancelSignal {
  readonly aborted: boolean
  addEventListener (type: 'abort', listener: () => void, options?: { readonly once?: boolean }): void
  removeEventListener (type: 'abort', listener: () => void): void
}

/** Cancels one call. Replaces `AbortController`, whose event target is too expensive to create for every call. */
export class Cancellation implements CancelSignal {
  aborted = false
  private listeners: Array<() => void> = []

  private constructor () {}

  static create (): Cancellation {
    return new Cancellation()
  }

  /** Calls every listener; repeated calls do nothing. */
  abort (): void {
    if (this.aborted) return
    this.aborted = true
    for (const listener of this.listeners.splice(0)) listener()
  }

  /** Adds a listener. Every listener is called at most once, with or without the option `once`. */
  addEventListener (_type: 'abort', listener: () => void): void {
    if (!this.aborted) this.listeners.push(listener)
  }

  removeEventListener (_type: 'abort', listener: () => void): void {
    const index = this.listeners.indexOf(listener)
    if (index >= 0) this.listeners.splice(index, 1)
  }
}
