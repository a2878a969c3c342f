/** The part of `AbortSignal` that cancellation needs; an `AbortSignal` fits as well. */
export interface CancelSignal {
  readonly aborted: boolean
  addEventListener (type: 'abort', listener: () => void, options?: { readonly once?: boolean }): void
  removeEventListener (type: 'abort', listener: () => void): void
}

/** Cancels one call. `AbortController` with its event target is too costly to make one for every call. */
export class Cancellation implements CancelSignal {
  aborted = false
  private listeners: Array<() => void> = []

  private constructor () {}

  static create (): Cancellation {
    return new Cancellation()
  }

  /** Calls every listener once; later calls do nothing. */
  abort (): void {
    if (this.aborted) return
    this.aborted = true
    for (const listener of this.listeners.splice(0)) listener()
  }

  /** Every listener is called once only, whatever the options say. */
  addEventListener (_type: 'abort', listener: () => void): void {
    if (!this.aborted) this.listeners.push(listener)
  }

  removeEventListener (_type: 'abort', listener: () => void): void {
    const index = this.listeners.indexOf(listener)
    if (index >= 0) this.listeners.splice(index, 1)
  }
}
