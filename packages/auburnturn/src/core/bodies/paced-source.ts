import type { Timeout } from '../clock/index.js'
import { freePieceBytes, freePieces, piecesPerTurn } from './constants.js'
import type { ReadPace } from './read-pace.js'

/** What sends the pieces of a body, such as a message or a socket. */
export interface PieceSource {
  pause (): unknown
  resume (): unknown
}

/** Pauses the source of one body while it sends more small pieces than the process may read. */
export class PacedSource {
  private readonly source: PieceSource
  private readonly pace: ReadPace
  /** Pieces that may still be read without a pause. */
  private credit = freePieces
  /** Pieces read beyond the free ones since the last pause. */
  private turnPieces = 0
  private timer: Timeout | undefined

  private constructor (source: PieceSource, pace: ReadPace) {
    this.source = source
    this.pace = pace
  }

  static create ({ source, pace }: { source: PieceSource, pace: ReadPace }): PacedSource {
    return new PacedSource(source, pace)
  }

  /** Whether the source is paused. */
  get paused (): boolean {
    return this.timer !== undefined
  }

  /** Counts a piece that was read; pauses the source if it is one too many. */
  count (bytes: number): void {
    this.credit = Math.min(freePieces, this.credit - 1 + bytes / freePieceBytes)
    if (this.credit >= 0) return
    this.turnPieces -= this.credit
    this.credit = 0
    if (this.turnPieces >= piecesPerTurn) this.pause()
  }

  /** Ends the pause, if there is one; the source is not resumed. */
  close (): void {
    this.timer?.cancel()
    this.timer = undefined
  }

  private pause (): void {
    const pauseMs = this.pace.takePieces(this.turnPieces)
    this.turnPieces = 0
    this.source.pause()
    this.timer?.cancel()
    this.timer = this.pace.clock.timerWheel.after(pauseMs, () => { this.resume() })
  }

  private resume (): void {
    this.timer = undefined
    this.source.resume()
  }
}
