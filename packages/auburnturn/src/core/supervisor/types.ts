/** A running part of a node, such as a server, that a supervisor manages. */
export interface Part {
  /** Releases all resources of the part; resolves when it has stopped completely. */
  close (): Promise<void>
  /** The part's state as JSON, without bodies or credentials. */
  dump? (): unknown
}

/** Starts a part. The part calls `fail` when it cannot continue; the supervisor then closes and restarts it. */
export type PartFactory = (fail: (error: unknown) => void) => Promise<Part>
