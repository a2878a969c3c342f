/** A running part of the tree. */
export interface Part {
  /** Releases everything the part holds; resolves when nothing of it runs any more. */
  close (): Promise<void>
  /** The part's state as JSON, without bodies or credentials. */
  dump? (): unknown
}

/** Starts a part. `fail` tells the supervisor that it can't go on; the part is then closed and started again. */
export type PartFactory = (fail: (error: unknown) => void) => Promise<Part>
